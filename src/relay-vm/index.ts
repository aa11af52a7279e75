export {RelayVm, type RelayVmOptions} from './relay-vm.js';
