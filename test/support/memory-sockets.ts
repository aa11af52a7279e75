import {EventEmitter} from 'node:events';
import type {LinkSocket} from '../../src/links/link-socket.js';

/** One end of a connection in memory. */
export class MemorySocket implements LinkSocket {
	/** Two connected ends; the first opens when `open` is called. */
	static pair(): [MemorySocket, MemorySocket] {
		const pair: [MemorySocket, MemorySocket] = [new MemorySocket(), new MemorySocket()];
		[pair[0].other, pair[1].other] = [pair[1], pair[0]];
		return pair;
	}

	bufferedAmount = 0;
	/** What this end sent, in order. */
	readonly sent: Uint8Array[] = [];
	/** False: what is sent does not arrive, while the connection stays open. */
	isDelivering = true;
	isTerminated = false;
	private other!: MemorySocket;
	readonly #emitter = new EventEmitter();

	open(): void {
		this.#emitter.emit('open');
	}

	/** Delivers bytes as if the other end had sent them. */
	deliver(bytes: Uint8Array): void {
		if (!this.isTerminated) {
			this.#emitter.emit('message', bytes);
		}
	}

	send(bytes: Uint8Array, onWritten: () => void): void {
		this.sent.push(bytes);
		onWritten();
		if (this.isDelivering && !this.isTerminated) {
			this.other.deliver(bytes);
		}
	}

	terminate(): void {
		if (!this.isTerminated) {
			this.isTerminated = true;
			this.#emitter.emit('close');
			this.other.terminate();
		}
	}

	on(event: string, listener: (...args: any[]) => void): void {
		this.#emitter.on(event, listener);
	}
}
