export {HttpVmList} from './http-vm-list.js';
export {MemoryVmList} from './memory-vm-list.js';
export {TopicVmList, type TopicVmListOptions} from './topic-vm-list.js';
export type {
	Vm, VmList, VmSnapshot, VmState,
} from './vm-list.js';
