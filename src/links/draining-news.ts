import type {LinkMessage} from './link-message.js';
import type {Link} from './link.js';
import type {MeshLinks} from './mesh-links.js';

/** Told a draining target; `source` is the peer that said so. */
export type DrainingListener = (target: string, startId: string, source: string) => void;

/** Port for news of draining targets, to and from the other entry VMs. */
export interface DrainingNews {
	/** Tells every other entry VM, once for each start of the target. */
	publish(target: string, startId: string): void;
	/** Calls `listener` for news of peers; returns a function that removes it. */
	onNews(listener: DrainingListener): () => void;
}

/** News kept to tell them only once. */
const maxKnown = 10_000;

/**
 * Spreads news of draining targets: within the zone over every link, across zones over the gateways, which pass them
 * on in their zone. Each process tells each piece of news once, so it does not circle.
 *
 * @internal
 */
export class DrainingGossip implements DrainingNews {
	static create(links: MeshLinks): DrainingGossip {
		return new DrainingGossip(links);
	}

	readonly #known = new Set<string>();
	readonly #listeners = new Set<DrainingListener>();

	private constructor(private readonly links: MeshLinks) {}

	publish(target: string, startId: string): void {
		if (this.#learn(target, startId)) {
			this.#send(target, startId, () => true);
		}
	}

	onNews(listener: DrainingListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Takes news from a link, from a message of its own or from a digest. */
	receive(link: Link, news: {readonly target: string; readonly startId: string}): void {
		const {target, startId} = news;
		if (!this.#learn(target, startId)) {
			return;
		}

		for (const listener of this.#listeners) {
			listener(target, startId, link.peer.name);
		}

		// Peers of the sender's zone have it from the sender.
		this.#send(target, startId, other => other !== link && other.peer.zone !== link.peer.zone);
	}

	#learn(target: string, startId: string): boolean {
		const key = `${target}\0${startId}`;
		if (this.#known.has(key)) {
			return false;
		}

		this.#known.add(key);
		if (this.#known.size > maxKnown) {
			const [oldest] = this.#known;
			this.#known.delete(oldest!);
		}

		return true;
	}

	#send(target: string, startId: string, select: (link: Link) => boolean): void {
		const message: LinkMessage = {type: 'draining', target, startId};
		for (const link of this.links.up().filter(other => select(other))) {
			this.links.send(link, message);
		}
	}
}
