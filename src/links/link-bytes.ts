import {Counter, type Registry} from 'prom-client';
import type {LinkMessageType} from './link-message.js';

/** How far a link reaches; bytes across regions are billed. */
export type LinkDistance = 'same_zone' | 'other_zone' | 'other_region' | 'unknown';

/** Why bytes were sent: a message type, or the handshake. */
export type LinkByteCause = LinkMessageType | 'handshake';

type Direction = 'sent' | 'received';
type Count = {bytes: Counter.Internal; messages: Counter.Internal};

/**
 * Counters of bytes and messages on links, by direction, cause and distance. Bytes include the WebSocket frame.
 *
 * @internal
 */
export class LinkBytes {
	static create(registry: Registry): LinkBytes {
		return new LinkBytes(registry);
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

	/** Counts one frame; `masked` is true for frames from client to server. */
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

/** Size of a WebSocket header without mask (RFC 6455, 5.2). */
function headerBytes(payloadBytes: number): number {
	return payloadBytes < 126 ? 2 : (payloadBytes < 65_536 ? 4 : 10);
}
