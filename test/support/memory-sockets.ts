import {EventEmitter} from 'node:events';
import type {LinkSocket} from '../../src/links/link-socket.js';

/** One end of an in-memory connection. */
export class MemorySocket implements LinkSocket {
	/** Creates two connected ends; the first emits `open` when its `open` method is called. */
	static pair(): [MemorySocket, MemorySocket] {
		const pair: [MemorySocket, MemorySocket] = [new MemorySocket(), new MemorySocket()];
		[pair[0].peer, pair[1].peer] = [pair[1], pair[0]];
		return pair;
	}

	bufferedAmount = 0;
	/** Messages sent by this end, in order. */
	readonly sent: Uint8Array[] = [];
	/** If false, messages sent by this end are dropped while the connection stays open. */
	isDelivering = true;
	isTerminated = false;
	private peer!: MemorySocket;
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
			this.peer.deliver(bytes);
		}
	}

	terminate(): void {
		if (!this.isTerminated) {
			this.isTerminated = true;
			this.#emitter.emit('close');
			this.peer.terminate();
		}
	}

	on(event: string, listener: (...args: any[]) => void): void {
		this.#emitter.on(event, listener);
	}
}
