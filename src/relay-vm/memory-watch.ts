import os from 'node:os';
import process from 'node:process';
import {getHeapSpaceStatistics, getHeapStatistics} from 'node:v8';
import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';

/** Interval of the checks; a busy process can use up the rest of its memory in about a second. */
const checkIntervalMs: Ms = 100;
/** Fractions of a limit at which a line is logged, once each on the way up. */
const logShares = [0.75, 0.85, 0.95] as const;
/** By how much the use has to fall below a fraction until that is logged again. */
const rearmShare = 0.1;
/** Interval of further lines while the use stays above a fraction. */
const repeatMs: Ms = 10_000;

/** Memory of a process and its limits, in bytes. */
export interface MemoryUse {
	/** Heap without the young generation, which is no part of what is limited by `--max-old-space-size`. */
	readonly heapBytes: number;
	/** Its limit, of the engine, which ends the process by SIGABRT (status 134) beyond it. */
	readonly heapLimitBytes: number;
	/** Memory outside the heap that buffers hold. */
	readonly bufferBytes: number;
	readonly residentBytes: number;
	/** Limit of the operating system, which kills the process (status 137) beyond it. */
	readonly residentLimitBytes: number;
}

/** Dependencies of {@link MemoryWatch}. */
export interface MemoryWatchOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	/** Called after each line, to write it at once: the process may end before the lines are due to be written. */
	readonly onLogged?: (() => void) | undefined;
	/** Reads the use of memory; that of this process by default. */
	readonly read?: () => MemoryUse;
}

/**
 * Logs when the process comes near a limit of its memory: neither the engine nor the operating system, which end it
 * beyond, leaves a line in its log.
 *
 * @example
 * const watch = MemoryWatch.create({clock, logger});
 * watch.start();
 */
export class MemoryWatch {
	static create(options: MemoryWatchOptions): MemoryWatch {
		return new MemoryWatch(options);
	}

	readonly #read: () => MemoryUse;
	#cancelTimer: CancelTimer = () => undefined;
	/** Number of fractions that have been logged and not been left since. */
	#level = 0;
	#loggedMs: Ms = -Infinity;

	private constructor(private readonly options: MemoryWatchOptions) {
		this.#read = options.read ?? readMemory;
	}

	/** Starts the checks. */
	start(): void {
		this.#cancelTimer = this.options.clock.after(checkIntervalMs, () => {
			this.start();
			this.#check();
		});
	}

	/** Stops the checks. */
	close(): void {
		this.#cancelTimer();
	}

	#check(): void {
		const use = this.#read();
		const share = Math.max(use.heapBytes / use.heapLimitBytes, use.residentBytes / use.residentLimitBytes);
		while (this.#level > 0 && share < logShares[this.#level - 1]! - rearmShare) {
			this.#level--;
		}

		const level = logShares.filter(each => share >= each).length;
		const now = this.options.clock.now();
		if (level > this.#level || (level > 0 && now - this.#loggedMs >= repeatMs)) {
			this.#level = Math.max(this.#level, level);
			this.#loggedMs = now;
			this.options.logger.warn('Memory is near its limit.', {
				share: Number(share.toFixed(2)),
				heap_mb: toMb(use.heapBytes),
				heap_limit_mb: toMb(use.heapLimitBytes),
				buffers_mb: toMb(use.bufferBytes),
				resident_mb: toMb(use.residentBytes),
				resident_limit_mb: toMb(use.residentLimitBytes),
			});
			this.options.onLogged?.();
		}
	}
}

/** Memory that the operating system gives the process: that of its control group, or of the machine. */
const residentLimitBytes = (() => {
	const machineBytes = os.totalmem();
	const groupBytes = process.constrainedMemory();
	return groupBytes > 0 && groupBytes < machineBytes ? groupBytes : machineBytes;
})();

/** Part of the engine's heap limit that is for the young generation: three semi-spaces of 16 MiB. */
const youngLimitBytes = 3 * 16 * 1024 * 1024;
const youngSpaces: ReadonlySet<string> = new Set(['new_space', 'new_large_object_space']);

/** Returns the use of memory of this process. */
export function readMemory(): MemoryUse {
	const heapBytes = getHeapSpaceStatistics().reduce((sum, space) => sum + (youngSpaces.has(space.space_name) ? 0 : space.space_used_size), 0);
	const heapLimitBytes = getHeapStatistics().heap_size_limit - youngLimitBytes;
	const {rss, external} = process.memoryUsage();
	return {
		heapBytes, heapLimitBytes, bufferBytes: external, residentBytes: rss, residentLimitBytes,
	};
}

function toMb(bytes: number): number {
	return Math.round(bytes / 1e6);
}
