import type {Clock, Ms} from '../clock/index.js';
import type {Link} from './link.js';

/** Why a request that was sent received no reply. */
export type NoReply = 'timeout' | 'link_lost';

type PendingReply<T> = {link: Link; resolve: (reply: T | NoReply) => void};

/**
 * Matches replies to requests by id. A reply is accepted only on the link on which its request was sent.
 *
 * @internal
 */
export class PendingReplies<T> {
	static create<T>(clock: Clock): PendingReplies<T> {
		return new PendingReplies<T>(clock);
	}

	readonly #pending = new Map<number, PendingReply<T>>();
	#nextId = 1;

	private constructor(private readonly clock: Clock) {}

	/** Sends a request with a new id. Resolves with its reply or why there is none: `unsent` when `send` returns false. */
	async request(link: Link, timeoutMs: Ms, send: (id: number) => boolean): Promise<T | NoReply | 'unsent'> {
		const id = this.#nextId++;
		return new Promise(resolve => {
			const cancel = this.clock.after(timeoutMs, () => {
				this.#settle(id, 'timeout');
			});
			this.#pending.set(id, {
				link,
				resolve(reply) {
					cancel();
					resolve(reply);
				},
			});
			if (!send(id)) {
				this.#pending.delete(id);
				cancel();
				resolve('unsent');
			}
		});
	}

	/** Resolves the request with a reply; a reply without a pending request is ignored. */
	reply(link: Link, id: number, reply: T): void {
		if (this.#pending.get(id)?.link === link) {
			this.#settle(id, reply);
		}
	}

	/** Resolves every request that is pending on a link with `link_lost`. */
	linkLost(link: Link): void {
		for (const [id, pending] of this.#pending) {
			if (pending.link === link) {
				this.#settle(id, 'link_lost');
			}
		}
	}

	#settle(id: number, reply: T | NoReply): void {
		const pending = this.#pending.get(id);
		this.#pending.delete(id);
		pending?.resolve(reply);
	}
}
