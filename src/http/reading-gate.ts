import type {IncomingMessage} from 'node:http';
import process from 'node:process';

/**
 * Holds up the reading of a request between two reads of its connection. The request is read by its `readable` events: a
 * request that is not read at all keeps an object for each chunk until 16 KiB are buffered, which are thousands of objects
 * where chunks are small.
 *
 * @example
 * const gate = ReadingGate.create(req);
 * gate.close();
 * gate.open();
 */
export class ReadingGate {
	static create(req: IncomingMessage): ReadingGate {
		return new ReadingGate(req);
	}

	#isOpen = true;
	#isScheduled = false;

	private constructor(private readonly req: IncomingMessage) {}

	/** Stops reading after what the connection has delivered in this turn. */
	close(): void {
		this.#isOpen = false;
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			// Behind the ticks in which the request asks for more.
			process.nextTick(() => {
				queueMicrotask(() => {
					this.#isScheduled = false;
					this.#stop();
				});
			});
		}
	}

	/** Reads on, also if another gate has stopped the reading. */
	open(): void {
		this.#isOpen = true;
		this.req.socket.resume();
	}

	/** Leaves the reading as it is. */
	release(): void {
		this.#isOpen = true;
	}

	/** A request that has ended must not hold up the next one of its connection. */
	#stop(): void {
		if (!this.#isOpen && !this.req.complete && !this.req.destroyed) {
			this.req.socket.pause();
		}
	}
}
