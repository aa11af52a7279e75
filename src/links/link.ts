import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import {FrameCodec} from './frame-codec.js';
import {Handshake} from './handshake.js';
import type {LinkByteCause, LinkBytes, LinkDistance} from './link-bytes.js';
import {LinkError, type LinkCloseReason} from './link-error.js';
import type {LinkIdentity} from './link-identity.js';
import type {LinkKey} from './link-key.js';
import {LinkLifecycle, type LinkState} from './link-lifecycle.js';
import {
	decodeLinkMessage, encodeLinkMessage, type LinkMessage, type LinkMessageType, type LinkTime,
} from './link-message.js';
import type {LinkSocket} from './link-socket.js';
import {SendQueue} from './send-queue.js';

/** Interval of heartbeats. */
export const pingIntervalMs: Ms = 500;
/** A link without a frame for so many intervals is replaced. */
const silentIntervals = 3;
/** Time after which a silent link is replaced, with heartbeats at the usual interval. */
export const silenceMs: Ms = silentIntervals * pingIntervalMs;
/** Time for the whole handshake. */
export const handshakeTimeoutMs: Ms = 3000;
/** Largest frame: a configuration state of a large deployment fits. */
export const maxFrameBytes = 4 * 1024 * 1024;

/** Bytes handed to the socket and not yet written, above which messages wait in the queue. */
const socketHighWaterBytes = 64 * 1024;
const maxQueueBytes = 8 * 1024 * 1024;
/** A heartbeat is due a little early, so that a timer's jitter does not skip one. */
const pingDueShare = 0.8;

/** Settings and listeners of a link. */
export interface LinkOptions {
	readonly socket: LinkSocket;
	readonly role: 'client' | 'server';
	readonly key: LinkKey;
	readonly self: LinkIdentity;
	readonly clock: Clock;
	readonly bytes: LinkBytes;
	/** Name that the dialled peer must have. */
	readonly expectedName?: string;
	readonly distanceTo: (zone: string) => LinkDistance;
	readonly onUp: (link: Link) => void;
	readonly onMessage: (link: Link, message: LinkMessage, time: LinkTime | undefined) => void;
	readonly onClosed: (link: Link, reason: LinkCloseReason, detail: string) => void;
	/** Told when a digest was dropped from the queue, so that the next one is sent whole. */
	readonly onDropped?: (link: Link, cause: LinkMessageType) => void;
	readonly maxQueueBytes?: number;
	/** Interval of heartbeats, where it is not the usual one; both ends use the same. */
	readonly pingMs?: Ms;
}

/**
 * One authenticated connection between two entry VMs. Until the handshake has ended nothing is sent or delivered;
 * afterwards any frame that is not the next authentic one closes it.
 *
 * @internal
 */
export class Link {
	static create(options: LinkOptions): Link {
		const link = new Link(options);
		link.#attach();
		return link;
	}

	readonly #lifecycle = LinkLifecycle.create();
	readonly #handshake: Handshake;
	readonly #queue: SendQueue;
	#codec: FrameCodec | undefined;
	#peer: LinkIdentity | undefined;
	#distance: LinkDistance = 'unknown';
	#lastSentMs: Ms;
	#lastReceivedMs: Ms;
	#lastUsedMs: Ms;
	#cancelTimeout: () => void = () => undefined;

	private constructor(private readonly options: LinkOptions) {
		this.#handshake = Handshake.create(options);
		this.#queue = SendQueue.create(options.maxQueueBytes ?? maxQueueBytes);
		this.#lastSentMs = options.clock.now();
		this.#lastReceivedMs = options.clock.now();
		this.#lastUsedMs = this.#lastReceivedMs;
	}

	get #pingMs(): Ms {
		return this.options.pingMs ?? pingIntervalMs;
	}

	get state(): LinkState {
		return this.#lifecycle.state;
	}

	get role(): 'client' | 'server' {
		return this.options.role;
	}

	/** The authenticated peer; only after the handshake. */
	get peer(): LinkIdentity {
		return this.#peer!;
	}

	/** Monotonic time of the last frame, or of the end of the handshake. */
	get lastReceivedMs(): Ms {
		return this.#lastReceivedMs;
	}

	/** Monotonic time of the last message other than a heartbeat, sent or received. */
	get lastUsedMs(): Ms {
		return this.#lastUsedMs;
	}

	get isUp(): boolean {
		return this.#lifecycle.state === 'up';
	}

	/** Sends a message; false when the link is not up or its queue is full. */
	send(message: LinkMessage, time?: LinkTime): boolean {
		return this.sendPayload(message.type, encodeLinkMessage(message, time));
	}

	/** Sends an encoded message, for messages that go to many peers. */
	sendPayload(cause: LinkMessageType, payload: Uint8Array): boolean {
		if (!this.isUp || payload.length > maxFrameBytes / 2) {
			return false;
		}

		if (this.#queue.bytes === 0 && this.options.socket.bufferedAmount < socketHighWaterBytes) {
			this.#write(cause, payload);
			return true;
		}

		const dropped = this.#queue.push({cause, payload});
		for (const item of dropped ?? []) {
			this.options.onDropped?.(this, item.cause);
		}

		return dropped !== undefined && !dropped.some(item => item.payload === payload);
	}

	/**
	 * Sends a heartbeat where one is due and closes a silent link; to be called once per interval. `isLate` tells
	 * that this process itself was stopped for a while, so that frames may wait unread.
	 */
	tick(isLate: boolean): void {
		if (!this.isUp) {
			return;
		}

		const now = this.options.clock.now();
		if (isLate) {
			this.#lastReceivedMs = Math.max(this.#lastReceivedMs, now - ((silentIntervals - 1) * this.#pingMs));
		}

		if (now - this.#lastReceivedMs >= silentIntervals * this.#pingMs) {
			this.#lifecycle.send({type: 'SILENT'});
			this.close('silent', `no frame for ${Math.round(now - this.#lastReceivedMs)} ms`);
			return;
		}

		this.#drain();
		if (now - this.#lastSentMs >= this.#pingMs * pingDueShare) {
			this.send({type: 'ping'});
		}
	}

	/** Closes the connection at once. */
	close(reason: LinkCloseReason, detail = ''): void {
		if (this.#lifecycle.state === 'closed') {
			return;
		}

		this.#lifecycle.send({type: 'CLOSE'});
		this.#cancelTimeout();
		this.options.socket.terminate();
		this.options.onClosed(this, reason, detail);
	}

	#attach(): void {
		const {socket, role, clock} = this.options;
		this.#cancelTimeout = clock.after(handshakeTimeoutMs, () => {
			this.close('handshake_timeout');
		});
		socket.on('message', data => {
			this.#receive(data);
		});
		socket.on('close', () => {
			this.close('socket_closed');
		});
		socket.on('error', err => {
			this.close('socket_closed', err.message);
		});
		if (role === 'server') {
			this.#lifecycle.send({type: 'OPEN'});
			return;
		}

		socket.on('open', () => {
			this.#lifecycle.send({type: 'OPEN'});
			this.#sendHandshake(this.#handshake.start());
		});
	}

	#receive(data: Uint8Array): void {
		try {
			if (this.#lifecycle.state === 'handshaking') {
				this.#readHandshake(data);
			} else if (this.#lifecycle.state === 'up') {
				this.#readFrame(data);
			}
		} catch (err) {
			this.close(err instanceof LinkError ? err.reason : 'bad_frame', errorMessage(err));
		}
	}

	#readHandshake(data: Uint8Array): void {
		this.#count('received', 'handshake', data.length);
		const step = this.#handshake.read(data);
		if (step.send) {
			this.#sendHandshake(step.send);
		}

		if (!step.result) {
			return;
		}

		const {peer, keys} = step.result;
		if (this.options.expectedName !== undefined && peer.name !== this.options.expectedName) {
			throw LinkError.create('wrong_name', `Cannot link: ${peer.name} answers at the address of ${this.options.expectedName}`);
		}

		this.#cancelTimeout();
		this.#peer = peer;
		this.#distance = this.options.distanceTo(peer.zone);
		this.#codec = FrameCodec.create(keys);
		this.#lastReceivedMs = this.options.clock.now();
		this.#lifecycle.send({type: 'AUTHENTICATED'});
		this.options.onUp(this);
	}

	#readFrame(data: Uint8Array): void {
		const payload = this.#codec!.open(data);
		this.#lastReceivedMs = this.options.clock.now();
		const decoded = decodeLinkMessage(payload);
		if (!decoded) {
			return;
		}

		this.#count('received', decoded.message.type, data.length);
		if (decoded.message.type !== 'ping') {
			this.#lastUsedMs = this.#lastReceivedMs;
			this.options.onMessage(this, decoded.message, decoded.time);
		}
	}

	#sendHandshake(bytes: Uint8Array): void {
		this.#count('sent', 'handshake', bytes.length);
		this.options.socket.send(bytes, () => undefined);
	}

	#write(cause: LinkMessageType, payload: Uint8Array): void {
		const frame = this.#codec!.seal(payload);
		this.#lastSentMs = this.options.clock.now();
		if (cause !== 'ping') {
			this.#lastUsedMs = this.#lastSentMs;
		}

		this.#count('sent', cause, frame.length);
		this.options.socket.send(frame, () => {
			this.#drain();
		});
	}

	#drain(): void {
		while (this.isUp && this.options.socket.bufferedAmount < socketHighWaterBytes) {
			const item = this.#queue.shift();
			if (!item) {
				return;
			}

			this.#write(item.cause, item.payload);
		}
	}

	#count(direction: 'sent' | 'received', cause: LinkByteCause, payloadBytes: number): void {
		this.options.bytes.count({
			direction, cause, distance: this.#distance, payloadBytes, masked: (direction === 'sent') === (this.options.role === 'client'),
		});
	}
}
