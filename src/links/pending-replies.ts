import type {Clock, Ms} from '../clock/index.js';
import type {Link} from './link.js';

/** How a wait ended without a reply. */
export type NoReply = 'timeout' | 'link_lost';

type Waiting<T> = {link: Link; resolve: (reply: T | NoReply) => void};

/**
 * Waits for replies by id. A reply counts only on the link on which its request was sent.
 *
 * @internal
 */
export class PendingReplies<T> {
	static create<T>(clock: Clock): PendingReplies<T> {
		return new PendingReplies<T>(clock);
	}

	readonly #waiting = new Map<number, Waiting<T>>();
	#nextId = 1;

	private constructor(private readonly clock: Clock) {}

	/** Sends a request with a fresh id; resolves with its reply, or `unsent` when `send` returns false. */
	async request(link: Link, timeoutMs: Ms, send: (id: number) => boolean): Promise<T | NoReply | 'unsent'> {
		const id = this.#nextId++;
		return new Promise(resolve => {
			const cancel = this.clock.after(timeoutMs, () => {
				this.#end(id, 'timeout');
			});
			this.#waiting.set(id, {
				link,
				resolve(reply) {
					cancel();
					resolve(reply);
				},
			});
			if (!send(id)) {
				this.#waiting.delete(id);
				cancel();
				resolve('unsent');
			}
		});
	}

	/** Delivers a reply; one that nobody waits for is ignored. */
	reply(link: Link, id: number, reply: T): void {
		if (this.#waiting.get(id)?.link === link) {
			this.#end(id, reply);
		}
	}

	/** Ends every wait on a link. */
	linkLost(link: Link): void {
		for (const [id, waiting] of this.#waiting) {
			if (waiting.link === link) {
				this.#end(id, 'link_lost');
			}
		}
	}

	#end(id: number, reply: T | NoReply): void {
		const waiting = this.#waiting.get(id);
		this.#waiting.delete(id);
		waiting?.resolve(reply);
	}
}
