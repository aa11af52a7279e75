import {Buffer} from 'node:buffer';
import fs from 'node:fs';
import type {Clock, Ms} from '../clock/index.js';

/** Delay before buffered lines are written, so that one write carries several lines. */
const flushIntervalMs: Ms = 100;
/** Sustained write rate; a busy entry VM uses about a tenth of it. */
const maxBytesPerSecond = 256 * 1024;
/** Capacity of the buffer, and burst size of the rate limit. */
const maxBufferedBytes = 1024 * 1024;

/** Writes bytes to a file descriptor without blocking, as `fs.write` does. */
export type AsyncWrite = (fd: number, bytes: Buffer, onDone: (err: Error | null, written: number) => void) => void;

/**
 * Writes lines to a file descriptor through a bounded buffer, so that a slow reader never blocks the process. Lines that
 * exceed the rate limit or the buffer are dropped; the number of dropped lines is written as a line of its own.
 *
 * @example
 * const sink = LineSink.create({clock, fd: 1});
 * sink.write('{"message":"Started."}');
 */
export class LineSink {
	/** Creates a sink for a file descriptor; `formatDropLine` formats the line that reports dropped lines. */
	static create(options: {clock: Clock; fd: number; write?: AsyncWrite; formatDropLine?: (lines: number) => string}): LineSink {
		return new LineSink(options.clock, options.fd, options.write ?? fs.write, options.formatDropLine ?? (lines => JSON.stringify({level: 'warn', message: 'Dropped log lines.', lines})));
	}

	#bufferedLines: string[] = [];
	#bufferedBytes = 0;
	#droppedLines = 0;
	#isWriting = false;
	#isScheduled = false;
	#availableBytes = maxBufferedBytes;
	#refilledAtMs: Ms;

	private constructor(private readonly clock: Clock, private readonly fd: number, private readonly writeBytes: AsyncWrite, private readonly formatDropLine: (lines: number) => string) {
		this.#refilledAtMs = clock.now();
	}

	/** Buffers one line, given without its line terminator. Returns false when the line was dropped. */
	write(line: string): boolean {
		const now = this.clock.now();
		this.#availableBytes = Math.min(maxBufferedBytes, this.#availableBytes + ((now - this.#refilledAtMs) * maxBytesPerSecond / 1000));
		this.#refilledAtMs = now;
		const bytes = line.length + 1;
		if (bytes > this.#availableBytes || this.#bufferedBytes + bytes > maxBufferedBytes) {
			this.#droppedLines++;
			return false;
		}

		this.#availableBytes -= bytes;
		this.#bufferedBytes += bytes;
		this.#bufferedLines.push(line);
		this.#schedule();
		return true;
	}

	/** Starts to write the buffered lines, unless a write is in progress, after which they follow. */
	flush(): void {
		const bytes = this.#isWriting ? undefined : this.#drainBuffer();
		if (bytes) {
			this.#isWriting = true;
			this.#writeAll(bytes);
		}
	}

	/** Writes the buffered lines synchronously. Blocks on a slow reader, so it is meant for process exit. */
	flushSync(): void {
		const bytes = this.#drainBuffer();
		if (bytes) {
			try {
				fs.writeSync(this.fd, bytes);
			} catch {
				// The reader has closed its end, and there is nowhere else to write the lines.
			}
		}
	}

	#schedule(): void {
		if (!this.#isScheduled && !this.#isWriting) {
			this.#isScheduled = true;
			this.clock.after(flushIntervalMs, () => {
				this.#isScheduled = false;
				this.flush();
			});
		}
	}

	#writeAll(bytes: Buffer): void {
		this.writeBytes(this.fd, bytes, (err, written) => {
			if (!err && written < bytes.length) {
				this.#writeAll(bytes.subarray(written));
				return;
			}

			this.#isWriting = false;
			if (this.#bufferedLines.length > 0) {
				this.#schedule();
			}
		});
	}

	#drainBuffer(): Buffer | undefined {
		if (this.#droppedLines > 0) {
			this.#bufferedLines.push(this.formatDropLine(this.#droppedLines));
			this.#droppedLines = 0;
		}

		if (this.#bufferedLines.length === 0) {
			return undefined;
		}

		const bytes = Buffer.from(`${this.#bufferedLines.join('\n')}\n`);
		this.#bufferedLines = [];
		this.#bufferedBytes = 0;
		return bytes;
	}
}
