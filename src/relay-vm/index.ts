export type {RelayLimits, RelayVmOptions} from './relay-vm-options.js';
export {RelayVm} from './relay-vm.js';
