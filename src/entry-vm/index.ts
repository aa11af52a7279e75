export {
	EntryVm, policyNames, type PolicyName, type EntryVmOptions,
} from './entry-vm.js';
export {metricNames} from './metrics.js';
