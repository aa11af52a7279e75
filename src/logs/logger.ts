import process from 'node:process';
import {type ILogObj, Logger} from 'tslog';

/** Log levels, least severe first. */
export const logLevels = ['debug', 'info', 'warn', 'error', 'off'] as const;

/** Severity below which lines are not written. */
export type LogLevel = typeof logLevels[number];

/** Parts that may write logs; each line names its part. */
export const logParts = ['entry-vm', 'config', 'claims', 'targets', 'links', 'orders', 'requests', 'operators', 'stand-in', 'cli', 'pools', 'platform'] as const;

/** Part that writes logs. */
export type LogPart = typeof logParts[number];

/** Logger of one part. Sentences are short; facts go into the second argument. */
export interface PartLogger {
	debug(message: string, facts?: Record<string, unknown>): void;
	info(message: string, facts?: Record<string, unknown>): void;
	warn(message: string, facts?: Record<string, unknown>): void;
	error(message: string, facts?: Record<string, unknown>): void;
}

/** Creates the logger of a part. */
export type LoggerFactory = (part: LogPart) => PartLogger;

/** What tslog hands to a transport for `log(message, facts)`. */
type LogLine = {0: string; 1: Record<string, unknown>; _meta: {date: Date; logLevelName: string}};

const minLevel: Record<LogLevel, number> = {
	debug: 2, info: 3, warn: 4, error: 5, off: 7,
};

/**
 * Returns a factory of loggers (tslog) that write one JSON object per line, to standard error unless `writeLine` takes
 * the lines.
 *
 * @example
 * const createLogger = createLoggerFactory({process: 'riga-1', level: 'info'});
 * createLogger('config').info('Applied a change.', {revision: 12});
 */
export function createLoggerFactory(options: {process: string; level: LogLevel; writeLine?: (line: string) => void}): LoggerFactory {
	const writeLine = options.writeLine ?? (line => process.stderr.write(`${line}\n`));
	const root = new Logger<ILogObj>({
		type: 'hidden',
		minLevel: minLevel[options.level],
		hideLogPositionForProduction: true,
	});
	return part => {
		const sub = root.getSubLogger({name: part});
		// tslog filters by level and calls the transport for lines that pass.
		sub.attachTransport(entry => {
			const line = entry as unknown as LogLine;
			writeLine(JSON.stringify({
				time: line._meta.date.toISOString(), level: line._meta.logLevelName.toLowerCase(), process: options.process, part, message: line[0], ...line[1],
			}));
		});
		const write = (level: Exclude<LogLevel, 'off'>) => (message: string, facts: Record<string, unknown> = {}) => {
			sub[level](message, facts);
		};

		return {
			debug: write('debug'), info: write('info'), warn: write('warn'), error: write('error'),
		};
	};
}

/** Logger factory that writes nothing; for tests. */
export const silentLoggerFactory: LoggerFactory = () => {
	const drop = () => undefined;
	return {
		debug: drop, info: drop, warn: drop, error: drop,
	};
};
