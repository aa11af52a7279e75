import type {LinkMessageType} from './link-message.js';

/** A payload that waits to be sent. */
export interface QueuedPayload {
	readonly cause: LinkMessageType;
	readonly payload: Uint8Array;
}

/** Types that a later message of the same type makes up for. */
const droppable: ReadonlySet<LinkMessageType> = new Set(['ping', 'digest', 'summary']);

/**
 * Bounded queue of a link. When it is full, heartbeats and digests are dropped, oldest first; nothing else is.
 *
 * @internal
 */
export class SendQueue {
	static create(maxBytes: number): SendQueue {
		return new SendQueue(maxBytes);
	}

	readonly #items: QueuedPayload[] = [];
	#bytes = 0;

	private constructor(private readonly maxBytes: number) {}

	get bytes(): number {
		return this.#bytes;
	}

	/**
	 * Adds a payload. Returns the payloads dropped for it, itself included where it is a digest; `undefined` when
	 * a message that must not be dropped does not fit.
	 */
	push(item: QueuedPayload): readonly QueuedPayload[] | undefined {
		this.#items.push(item);
		this.#bytes += item.payload.length;
		const dropped: QueuedPayload[] = [];
		while (this.#bytes > this.maxBytes) {
			const index = this.#items.findIndex(queued => droppable.has(queued.cause));
			if (index === -1) {
				this.#items.pop();
				this.#bytes -= item.payload.length;
				return undefined;
			}

			const [removed] = this.#items.splice(index, 1);
			this.#bytes -= removed!.payload.length;
			dropped.push(removed!);
		}

		return dropped;
	}

	shift(): QueuedPayload | undefined {
		const item = this.#items.shift();
		this.#bytes -= item?.payload.length ?? 0;
		return item;
	}
}
