export {RelayVm, type RelayLimits, type RelayVmOptions} from './relay-vm.js';
