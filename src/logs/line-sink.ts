import {Buffer} from 'node:buffer';
import fs from 'node:fs';
import type {Clock, Ms} from '../clock/index.js';

/** Lines wait at most this long, so that one write carries several. */
const flushMs: Ms = 100;
/** Bytes written in a second on average; a busy entry VM needs about a tenth of it. */
const bytesPerSecond = 256 * 1024;
/** Bytes that may be written at once after a quiet time, and that may wait for a slow reader. */
const maxWaitingBytes = 1024 * 1024;

/** Writes bytes to a file descriptor without blocking. */
export type AsyncWrite = (fd: number, bytes: Buffer, onDone: (err: Error | null, written: number) => void) => void;

/**
 * Writes lines to a file descriptor from a bounded buffer, without ever waiting for its reader. Lines beyond the rate
 * or the buffer are dropped and counted; the count is written as a line of its own.
 *
 * @example
 * const sink = LineSink.create({clock, fd: 1});
 * sink.write('{"message":"Started."}');
 */
export class LineSink {
	static create(options: {clock: Clock; fd: number; write?: AsyncWrite; describeDrop?: (lines: number) => string}): LineSink {
		return new LineSink(options.clock, options.fd, options.write ?? fs.write, options.describeDrop ?? (lines => JSON.stringify({level: 'warn', message: 'Dropped log lines.', lines})));
	}

	#waiting: string[] = [];
	#waitingBytes = 0;
	#dropped = 0;
	#isWriting = false;
	#isScheduled = false;
	#allowance = maxWaitingBytes;
	#filledMs: Ms;

	private constructor(private readonly clock: Clock, private readonly fd: number, private readonly writeBytes: AsyncWrite, private readonly describeDrop: (lines: number) => string) {
		this.#filledMs = clock.now();
	}

	/** Takes one line without its end; false when it was dropped. */
	write(line: string): boolean {
		const now = this.clock.now();
		this.#allowance = Math.min(maxWaitingBytes, this.#allowance + ((now - this.#filledMs) * bytesPerSecond / 1000));
		this.#filledMs = now;
		const bytes = line.length + 1;
		if (bytes > this.#allowance || this.#waitingBytes + bytes > maxWaitingBytes) {
			this.#dropped++;
			return false;
		}

		this.#allowance -= bytes;
		this.#waitingBytes += bytes;
		this.#waiting.push(line);
		this.#schedule();
		return true;
	}

	/** Writes what waits at once, waiting for the reader; for the end of the process. */
	flushSync(): void {
		const bytes = this.#take();
		if (bytes) {
			try {
				fs.writeSync(this.fd, bytes);
			} catch {
				// Nobody reads any more: there is no other place for the lines.
			}
		}
	}

	#schedule(): void {
		if (!this.#isScheduled && !this.#isWriting) {
			this.#isScheduled = true;
			this.clock.after(flushMs, () => {
				this.#isScheduled = false;
				this.#flush();
			});
		}
	}

	#flush(): void {
		const bytes = this.#take();
		if (bytes) {
			this.#isWriting = true;
			this.#send(bytes);
		}
	}

	#send(bytes: Buffer): void {
		this.writeBytes(this.fd, bytes, (err, written) => {
			if (!err && written < bytes.length) {
				this.#send(bytes.subarray(written));
				return;
			}

			this.#isWriting = false;
			if (this.#waiting.length > 0) {
				this.#schedule();
			}
		});
	}

	#take(): Buffer | undefined {
		if (this.#dropped > 0) {
			this.#waiting.push(this.describeDrop(this.#dropped));
			this.#dropped = 0;
		}

		if (this.#waiting.length === 0) {
			return undefined;
		}

		const bytes = Buffer.from(`${this.#waiting.join('\n')}\n`);
		this.#waiting = [];
		this.#waitingBytes = 0;
		return bytes;
	}
}
