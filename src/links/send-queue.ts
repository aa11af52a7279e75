import type {LinkMessageType} from './link-message.js';

/** A payload waiting to be sent. */
export interface QueuedPayload {
	readonly cause: LinkMessageType;
	readonly payload: Uint8Array;
}

/** Message types that may be dropped, since a later message of the same type supersedes them. */
const droppableTypes: ReadonlySet<LinkMessageType> = new Set(['ping', 'beat', 'digest', 'summary']);

/**
 * Bounded send queue of a link. When it is full, heartbeats, digests and summaries are dropped, oldest first. Other
 * messages are never dropped once queued.
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
	 * Appends a payload. Returns the payloads that were dropped to make room, which may include a droppable `item`
	 * itself. Returns `undefined` if `item` was not queued because it does not fit.
	 */
	push(item: QueuedPayload): readonly QueuedPayload[] | undefined {
		const keptBytes = [...this.#items, item].reduce((sum, {cause, payload}) => sum + (droppableTypes.has(cause) ? 0 : payload.length), 0);
		if (keptBytes > this.maxBytes) {
			return undefined;
		}

		this.#items.push(item);
		this.#bytes += item.payload.length;
		const dropped: QueuedPayload[] = [];
		while (this.#bytes > this.maxBytes) {
			const index = this.#items.findIndex(queued => droppableTypes.has(queued.cause));
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
