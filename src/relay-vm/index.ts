export {RelayVm, type RelayBounds, type RelayVmOptions} from './relay-vm.js';
