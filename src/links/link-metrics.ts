import {Counter, type Registry} from 'prom-client';
import type {LinkMessageType} from './link-message.js';

/** Network distance to the peer of a link. Traffic between regions is billed. */
export type LinkDistance = 'same_zone' | 'other_zone' | 'other_region' | 'unknown';

/** Purpose of a frame: a message type, or the handshake. */
export type LinkByteCause = LinkMessageType | 'handshake';

type Direction = 'sent' | 'received';
type Count = {bytes: Counter.Internal; messages: Counter.Internal};

/**
 * Counts bytes and messages on links by direction, cause and distance. Byte counts include WebSocket frame headers.
 *
 * @internal
 */
export class LinkMetrics {
	static create(registry: Registry): LinkMetrics {
		return new LinkMetrics(registry);
	}

	readonly #bytes: Counter;
	readonly #messages: Counter;
	readonly #counts = new Map<string, Count>();

	private constructor(registry: Registry) {
		const labelNames = ['direction', 'cause', 'distance'];
		this.#bytes = new Counter({
			name: 'guavamill_link_bytes_total', help: 'Bytes on links by direction, cause and distance.', labelNames, registers: [registry],
		});
		this.#messages = new Counter({
			name: 'guavamill_link_messages_total', help: 'Messages on links by direction, cause and distance.', labelNames, registers: [registry],
		});
	}

	/** Counts one frame. `masked` must be true for frames from client to server, which carry a masking key. */
	count(frame: {direction: Direction; cause: LinkByteCause; distance: LinkDistance; payloadBytes: number; masked: boolean}): void {
		const {direction, cause, distance} = frame;
		const key = `${direction} ${cause} ${distance}`;
		let counts = this.#counts.get(key);
		if (!counts) {
			counts = {bytes: this.#bytes.labels(direction, cause, distance), messages: this.#messages.labels(direction, cause, distance)};
			this.#counts.set(key, counts);
		}

		counts.bytes.inc(frame.payloadBytes + headerBytes(frame.payloadBytes) + (frame.masked ? 4 : 0));
		counts.messages.inc();
	}
}

/** Returns the size of a WebSocket frame header without the masking key (RFC 6455, section 5.2). */
function headerBytes(payloadBytes: number): number {
	return payloadBytes < 126 ? 2 : (payloadBytes < 65_536 ? 4 : 10);
}
