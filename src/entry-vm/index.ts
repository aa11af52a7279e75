export {EntryVm, type EntryVmOptions} from './entry-vm.js';
export {metricNames} from './metrics.js';
