import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';

/** Part of the allowed garbage that is received between two checks: an upload leaves two to three times its size. */
const checkShare = 1 / 4;

/** Time between two collections, in durations of the first: uploads alone would have one follow the other at hundreds of MB a second. */
const pauseFactor = 4;

/** Options of {@link BufferReclaimer}. */
export interface BufferReclaimerOptions {
	/** Memory that buffers which are not in use may take, in bytes. */
	readonly maxGarbageBytes: number;
	/** Returns the memory of the requests and responses in progress, in bytes. */
	readonly usedBytes: () => number;
	readonly clock: Pick<Clock, 'now'>;
	readonly logger: PartLogger;
	/** Returns the memory of all buffers, in bytes; that of this process by default. */
	readonly bufferBytes?: () => number;
	/** Runs a full garbage collection; one of this process by default. */
	readonly collect?: () => void;
}

/**
 * Bounds the memory of the buffers that uploads leave behind. The engine triggers collections by its heap, of which a buffer
 * takes only a few bytes: with 100 uploads of 4 MiB, 280 MB of buffers were allocated in a process that has 350 MB.
 *
 * @example
 * const reclaimer = BufferReclaimer.create({maxGarbageBytes, usedBytes: () => requestMemory.bytes, clock, logger});
 * socket.on('data', chunk => reclaimer.received(chunk.length));
 */
export class BufferReclaimer {
	static create(options: BufferReclaimerOptions): BufferReclaimer {
		return new BufferReclaimer(options);
	}

	/** Memory of other buffers that the last collection did not free, so that it is not tried again for them. */
	#otherBytes = 0;
	#receivedBytes = 0;
	#nextMs: Ms = -Infinity;

	private constructor(private readonly options: BufferReclaimerOptions) {}

	/** Counts received bytes, and collects garbage when there may be too much. */
	received(bytes: number): void {
		this.#receivedBytes += bytes;
		if (this.#receivedBytes >= this.options.maxGarbageBytes * checkShare) {
			this.#receivedBytes = 0;
			this.#check();
		}
	}

	#check(): void {
		const {maxGarbageBytes, clock, logger, collect = collectGarbage} = this.options;
		const unused = this.#unusedBytes();
		// What is in use falls as requests end.
		this.#otherBytes = Math.min(this.#otherBytes, unused);
		const startMs = clock.now();
		if (unused - this.#otherBytes <= maxGarbageBytes || startMs < this.#nextMs) {
			return;
		}

		collect();
		const durationMs = clock.now() - startMs;
		this.#nextMs = startMs + ((1 + pauseFactor) * durationMs);
		this.#otherBytes = this.#unusedBytes();
		logger.debug('Collected buffers that are not in use.', {
			before_bytes: unused, after_bytes: this.#otherBytes, allowed_bytes: maxGarbageBytes, duration_ms: Math.round(durationMs),
		});
	}

	#unusedBytes(): number {
		const {bufferBytes = readBufferBytes, usedBytes} = this.options;
		return Math.max(0, bufferBytes() - usedBytes());
	}
}

function readBufferBytes(): number {
	return process.memoryUsage().arrayBuffers;
}

let runCollection: (() => void) | undefined;

function collectGarbage(): void {
	if (!runCollection) {
		// Only a context that is created after the flag is set has the function. Most processes never need it.
		setFlagsFromString('--expose-gc');
		runCollection = runInNewContext('gc') as () => void;
	}

	runCollection();
}
