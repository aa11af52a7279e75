import type {LinkMessage} from './link-message.js';
import type {Link} from './link.js';
import type {MeshLinks} from './mesh-links.js';

/** Called with a draining target; `source` is the peer that reported it. */
export type DrainingListener = (target: string, startId: string, source: string) => void;

/** Notifies the other entry VMs of draining targets, and receives their notifications. */
export interface DrainingNotifier {
	/** Notifies every other entry VM, once for each start of the target. */
	publish(target: string, startId: string): void;
	/** Calls `listener` for each notification from a peer; returns a function that removes the listener. */
	onDraining(listener: DrainingListener): () => void;
}

/** Maximum number of target starts remembered in order to notify of each only once. */
const maxKnownStarts = 10_000;

/**
 * Propagates notifications of draining targets by gossip: within the zone over every link, and to other zones through
 * their gateways, which forward them in their zone. Each process sends a notification only once, so that none loops.
 *
 * @internal
 */
export class DrainingGossip implements DrainingNotifier {
	static create(links: MeshLinks): DrainingGossip {
		return new DrainingGossip(links);
	}

	readonly #known = new Set<string>();
	readonly #listeners = new Set<DrainingListener>();

	private constructor(private readonly links: MeshLinks) {}

	publish(target: string, startId: string): void {
		if (this.#addIfNew(target, startId)) {
			this.#send(target, startId, () => true);
		}
	}

	onDraining(listener: DrainingListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Handles a notification from a peer, received as a message or within a digest. */
	receive(link: Link, notification: {readonly target: string; readonly startId: string}): void {
		const {target, startId} = notification;
		if (!this.#addIfNew(target, startId)) {
			return;
		}

		for (const listener of this.#listeners) {
			listener(target, startId, link.peer.name);
		}

		// The sender notifies the peers of its own zone itself.
		this.#send(target, startId, other => other !== link && other.peer.zone !== link.peer.zone);
	}

	#addIfNew(target: string, startId: string): boolean {
		const key = `${target}\0${startId}`;
		if (this.#known.has(key)) {
			return false;
		}

		this.#known.add(key);
		if (this.#known.size > maxKnownStarts) {
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
