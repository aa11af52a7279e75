export {explainRequest} from '../logging/explain-request.js';
export {LineSink} from './line-sink.js';
export {
	createLoggerFactory, logLevels, logParts, silentLoggerFactory, type LoggerFactory, type LogLevel, type LogPart, type PartLogger,
} from './logger.js';
