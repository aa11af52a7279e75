import process from 'node:process';
import {type ILogObj, Logger} from 'tslog';

/** Log levels, least severe first. */
export const logLevels = ['debug', 'info', 'warn', 'error', 'off'] as const;

/** Minimum severity of the lines that are written; `off` writes none. */
export type LogLevel = typeof logLevels[number];

/** Parts of the system that write logs; each line names its part. */
export const logParts = ['entry-vm', 'config', 'claims', 'targets', 'links', 'orders', 'requests', 'operators', 'stand-in', 'cli', 'pools', 'platform'] as const;

/** One of `logParts`. */
export type LogPart = typeof logParts[number];

/** Logger of one part. Messages are short, constant sentences; variable data goes into `fields`. */
export interface PartLogger {
	debug(message: string, fields?: Record<string, unknown>): void;
	info(message: string, fields?: Record<string, unknown>): void;
	warn(message: string, fields?: Record<string, unknown>): void;
	error(message: string, fields?: Record<string, unknown>): void;
}

/** Creates a logger for a part. */
export type LoggerFactory = (part: LogPart) => PartLogger;

/** Entry that tslog passes to a transport for a call of `log(message, fields)`. */
type TslogEntry = {0: string; 1: Record<string, unknown>; _meta: {date: Date; logLevelName: string}};

const tslogLevels: Record<LogLevel, number> = {
	debug: 2, info: 3, warn: 4, error: 5, off: 7,
};

/**
 * Returns a factory of tslog-based loggers that write one JSON object per line, to standard error unless `writeLine` is
 * given.
 *
 * @example
 * const createLogger = createLoggerFactory({process: 'riga-1', level: 'info'});
 * createLogger('config').info('Applied a change.', {revision: 12});
 */
export function createLoggerFactory(options: {process: string; level: LogLevel; writeLine?: (line: string) => void}): LoggerFactory {
	const writeLine = options.writeLine ?? (line => process.stderr.write(`${line}\n`));
	const root = new Logger<ILogObj>({
		type: 'hidden',
		minLevel: tslogLevels[options.level],
		hideLogPositionForProduction: true,
	});
	return part => {
		const sub = root.getSubLogger({name: part});
		// tslog calls the transport only for entries at or above `minLevel`.
		sub.attachTransport(entry => {
			const line = entry as unknown as TslogEntry;
			writeLine(JSON.stringify({
				time: line._meta.date.toISOString(), level: line._meta.logLevelName.toLowerCase(), process: options.process, part, message: line[0], ...line[1],
			}));
		});
		const write = (level: Exclude<LogLevel, 'off'>) => (message: string, fields: Record<string, unknown> = {}) => {
			sub[level](message, fields);
		};

		return {
			debug: write('debug'), info: write('info'), warn: write('warn'), error: write('error'),
		};
	};
}

/** Logger factory whose loggers discard every line; for tests. */
export const silentLoggerFactory: LoggerFactory = () => {
	const drop = () => undefined;
	return {
		debug: drop, info: drop, warn: drop, error: drop,
	};
};
