import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import {FrameCodec} from './frame-codec.js';
import {Handshake} from './handshake.js';
import type {LinkByteCause, LinkMetrics, LinkDistance} from './link-metrics.js';
import {LinkError, type LinkCloseReason} from './link-error.js';
import type {LinkIdentity} from './link-identity.js';
import type {LinkKey} from './link-key.js';
import {LinkLifecycle, type LinkState} from './link-lifecycle.js';
import {
	decodeLinkMessage, encodeLinkMessage, type LinkMessage, type LinkMessageType, type LinkTime,
} from './link-message.js';
import type {LinkSocket} from './link-socket.js';
import {SendQueue} from './send-queue.js';

/** Default interval between heartbeats. */
export const pingIntervalMs: Ms = 500;
/** Number of heartbeat intervals without a received frame after which a link is closed. */
const maxSilentIntervals = 3;
/** Time without a received frame after which a link is closed, at the default heartbeat interval. */
export const silenceTimeoutMs: Ms = maxSilentIntervals * pingIntervalMs;
/** Timeout for establishing a link: connecting and the complete handshake. */
export const handshakeTimeoutMs: Ms = 3000;
/** Maximum frame size; large enough for the configuration state of a large deployment. */
export const maxFrameBytes = 4 * 1024 * 1024;

/** Messages are queued while the socket buffers at least this many unwritten bytes. */
const socketHighWaterBytes = 64 * 1024;
const defaultMaxQueueBytes = 8 * 1024 * 1024;
/** Fraction of the interval after which a heartbeat is due; below 1, so that timer jitter does not skip a heartbeat. */
const pingDueFraction = 0.8;

/** Options and callbacks of a link. */
export interface LinkOptions {
	readonly socket: LinkSocket;
	readonly role: 'client' | 'server';
	readonly key: LinkKey;
	readonly self: LinkIdentity;
	readonly clock: Clock;
	readonly metrics: LinkMetrics;
	/** Name that a dialled peer must present; any name is accepted without it. */
	readonly expectedName?: string;
	readonly distanceTo: (zone: string) => LinkDistance;
	readonly onUp: (link: Link) => void;
	readonly onMessage: (link: Link, message: LinkMessage, time: LinkTime | undefined) => void;
	readonly onClosed: (link: Link, reason: LinkCloseReason, detail: string) => void;
	/** Called for messages dropped from the queue. After a dropped digest, the next one must be sent in full. */
	readonly onDropped?: (link: Link, cause: LinkMessageType) => void;
	readonly maxQueueBytes?: number;
	/** Interval between heartbeats, `pingIntervalMs` by default. Both ends must use the same interval. */
	readonly pingMs?: Ms;
	/** Shorter interval between the heartbeats of an end while its loss has to be detected fast; the same at both ends. */
	readonly fastPing?: FastPing;
}

/** Shorter interval between heartbeats, for which each of them promises the next one. */
export interface FastPing {
	readonly intervalMs: Ms;
	/** Whether this end uses it now. */
	readonly isActive: () => boolean;
}

/**
 * An authenticated connection between two entry VMs. No message is sent or delivered before the handshake completes.
 * After that, a frame that fails authentication or is out of sequence closes the link.
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
	/** Interval that the last heartbeat of the peer promised. */
	#peerPingMs: Ms;
	/** Whether the last heartbeat sent promised the shorter interval. */
	#isFast = false;
	#cancelTimeout: () => void = () => undefined;

	private constructor(private readonly options: LinkOptions) {
		this.#handshake = Handshake.create(options);
		this.#queue = SendQueue.create(options.maxQueueBytes ?? defaultMaxQueueBytes);
		this.#lastSentMs = options.clock.now();
		this.#lastReceivedMs = options.clock.now();
		this.#lastUsedMs = this.#lastReceivedMs;
		this.#peerPingMs = this.#pingMs;
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

	/** The authenticated peer. Must not be read before the handshake completes. */
	get peer(): LinkIdentity {
		return this.#peer!;
	}

	/** Monotonic time at which the last frame was received, or the handshake completed. */
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

	/**
	 * Sends or queues a message. Returns false if the link is not up, or if the message exceeds half of `maxFrameBytes`
	 * or does not fit into the send queue.
	 */
	send(message: LinkMessage, time?: LinkTime): boolean {
		return this.sendPayload(message.type, encodeLinkMessage(message, time));
	}

	/** Like `send`, for a message that is encoded once and sent to several peers. */
	sendPayload(cause: LinkMessageType, payload: Uint8Array): boolean {
		if (!this.isUp || payload.length > maxFrameBytes / 2) {
			return false;
		}

		if (this.#queue.bytes === 0 && this.options.socket.bufferedAmount < socketHighWaterBytes) {
			this.#sendFrame(cause, payload);
			return true;
		}

		const dropped = this.#queue.push({cause, payload});
		for (const item of dropped ?? []) {
			this.options.onDropped?.(this, item.cause);
		}

		return dropped !== undefined && !dropped.some(item => item.payload === payload);
	}

	/**
	 * Sends a heartbeat if one is due, and closes the link if it has timed out. Must be called once per heartbeat
	 * interval. `isLate` indicates that this process itself was paused, so received frames may not have been read yet:
	 * the link is then kept for at least one more interval.
	 */
	tick(isLate: boolean): void {
		if (!this.isUp) {
			return;
		}

		const {clock, fastPing} = this.options;
		const now = clock.now();
		if (isLate) {
			this.#lastReceivedMs = Math.max(this.#lastReceivedMs, now - ((maxSilentIntervals - 1) * this.#peerPingMs));
		}

		if (now - this.#lastReceivedMs >= maxSilentIntervals * this.#peerPingMs) {
			this.#lifecycle.send({type: 'SILENT'});
			this.close('silent', `no frame received for ${Math.round(now - this.#lastReceivedMs)} ms`);
			return;
		}

		this.#flushQueue();
		const isFast = fastPing?.isActive() ?? false;
		// The first heartbeat after a change of the interval is sent at once, since the peer relies on the interval promised before.
		if (isFast !== this.#isFast || now - this.#lastSentMs >= (isFast ? fastPing!.intervalMs : this.#pingMs) * pingDueFraction) {
			this.#isFast = isFast;
			this.send({type: isFast ? 'beat' : 'ping'});
		}
	}

	/** Closes the connection immediately, without sending queued messages. */
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
			throw LinkError.create('wrong_name', `Cannot establish a link: the peer is ${peer.name}, expected ${this.options.expectedName}`);
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
		const payload = this.#codec!.decode(data);
		this.#lastReceivedMs = this.options.clock.now();
		const decoded = decodeLinkMessage(payload);
		if (!decoded) {
			return;
		}

		this.#count('received', decoded.message.type, data.length);
		const {type} = decoded.message;
		if (type === 'ping') {
			this.#peerPingMs = this.#pingMs;
		} else if (type === 'beat') {
			this.#peerPingMs = this.options.fastPing?.intervalMs ?? this.#pingMs;
		} else {
			this.#lastUsedMs = this.#lastReceivedMs;
			this.options.onMessage(this, decoded.message, decoded.time);
		}
	}

	#sendHandshake(bytes: Uint8Array): void {
		this.#count('sent', 'handshake', bytes.length);
		this.options.socket.send(bytes, () => undefined);
	}

	#sendFrame(cause: LinkMessageType, payload: Uint8Array): void {
		const frame = this.#codec!.encode(payload);
		this.#lastSentMs = this.options.clock.now();
		if (cause !== 'ping' && cause !== 'beat') {
			this.#lastUsedMs = this.#lastSentMs;
		}

		this.#count('sent', cause, frame.length);
		this.options.socket.send(frame, () => {
			this.#flushQueue();
		});
	}

	#flushQueue(): void {
		while (this.isUp && this.options.socket.bufferedAmount < socketHighWaterBytes) {
			const item = this.#queue.shift();
			if (!item) {
				return;
			}

			this.#sendFrame(item.cause, item.payload);
		}
	}

	#count(direction: 'sent' | 'received', cause: LinkByteCause, payloadBytes: number): void {
		this.options.metrics.count({
			direction, cause, distance: this.#distance, payloadBytes, masked: (direction === 'sent') === (this.options.role === 'client'),
		});
	}
}
