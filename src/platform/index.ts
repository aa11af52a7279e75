export {MemoryPlatformLog, type LogFaults} from './memory-platform-log.js';
export {MemoryVmList} from './memory-vm-list.js';
export {
	LogTimeoutError, LogUnavailableError, type LogPage, type LogRecord, type LogStream, type PlatformLog, type ReadOptions,
} from './platform-log.js';
export type {
	Vm, VmList, VmSnapshot, VmState,
} from './vm-list.js';
export {HttpPlatformLog} from './http-platform-log.js';
export {HttpVmList} from './http-vm-list.js';
