import process from 'node:process';
import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';

/** Interval of the checks. */
const checkIntervalMs: Ms = 250;
/** Delay of a check from which it is logged; shorter ones are within what callers notice. */
const minDelayMs: Ms = 250;

/** Dependencies of {@link EventLoopWatch}. */
export interface EventLoopWatchOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	/** Called with each delay that is logged. */
	readonly onDelay: (delayMs: Ms) => void;
	/** Returns the processor time that the process has used so far, in ms; by default that of this process. */
	readonly cpuTimeMs?: () => Ms;
}

function ownCpuTimeMs(): Ms {
	const {user, system} = process.cpuUsage();
	return (user + system) / 1000;
}

/**
 * Logs when the process has served nothing for a while: its event loop was held up by one long callback, which takes about
 * as much processor time, or the process was not scheduled, for which it takes far less.
 *
 * @example
 * const watch = EventLoopWatch.create({clock, logger, onDelay});
 * watch.start();
 */
export class EventLoopWatch {
	static create(options: EventLoopWatchOptions): EventLoopWatch {
		return new EventLoopWatch(options);
	}

	#cancelTimer: CancelTimer = () => undefined;

	private constructor(private readonly options: EventLoopWatchOptions) {}

	/** Starts the checks. */
	start(): void {
		const {clock, logger, onDelay, cpuTimeMs = ownCpuTimeMs} = this.options;
		const startedCpuMs = cpuTimeMs();
		const dueMs = clock.now() + checkIntervalMs;
		this.#cancelTimer = clock.after(checkIntervalMs, () => {
			const delayMs = clock.now() - dueMs;
			if (delayMs >= minDelayMs) {
				logger.warn('The event loop was held up.', {held_ms: Math.round(delayMs), cpu_ms: Math.round(cpuTimeMs() - startedCpuMs)});
				onDelay(delayMs);
			}

			this.start();
		});
	}

	/** Stops the checks. */
	close(): void {
		this.#cancelTimer();
	}
}
