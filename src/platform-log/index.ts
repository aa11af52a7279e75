export {HttpPlatformLog} from '../platform-log/http-platform-log.js';
export {MemoryPlatformLog, type LogFaults} from './memory-platform-log.js';
export {
	LogTimeoutError, LogUnavailableError, type LogPage, type LogRecord, type LogStream, type PlatformLog, type ReadOptions,
} from './platform-log.js';
