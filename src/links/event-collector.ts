import type {Clock, Ms} from '../clock/index.js';
import type {
	CollectedEvents, EventFilter, EventRing, PeerEvents, TimelineEvent,
} from '../events/index.js';
import type {LinkMessage} from './link-message.js';
import type {Link} from './link.js';
import type {MeshLinks} from './mesh-links.js';
import {PendingReplies} from './pending-replies.js';

/** Maximum number of events that one process sends: the latest that match. */
const maxEventsPerProcess = 2000;
/** Maximum number of events in one reply, about 1 MB. */
const maxEventsPerReply = 5000;
/** Fraction of a request's timeout that a process allows the peers it queries, so that its own reply arrives in time. */
const forwardedTimeoutRatio = 0.7;

/** Events and the names of the processes that did and did not answer. */
type Reply = {events: readonly TimelineEvent[]; answered: readonly string[]; silent: readonly string[]};
type Scope = 'process' | 'zone' | 'other_zones';

/**
 * Collects events over the mesh: queries each peer of the zone directly, and each other zone through one gateway.
 *
 * @internal
 */
export class EventCollector implements PeerEvents {
	static create(options: {clock: Clock; links: MeshLinks; ring: EventRing}): EventCollector {
		return new EventCollector(options.links, options.ring, PendingReplies.create(options.clock));
	}

	private constructor(private readonly links: MeshLinks, private readonly ring: EventRing, private readonly replies: PendingReplies<Reply>) {}

	async collect(filter: EventFilter, timeoutMs: Ms): Promise<CollectedEvents> {
		const {membership, self} = this.links;
		const replies = await Promise.all([this.#queryZone(filter, timeoutMs), this.#queryOtherZones(filter, timeoutMs)]);
		const {events, answered, silent} = mergeReplies(replies);
		const responded = new Set([...answered, self.name]);
		const known = [...silent, ...membership.members().map(member => member.name)];
		return {events, silent: [...new Set(known)].filter(name => !responded.has(name)).toSorted()};
	}

	async receive(link: Link, message: LinkMessage & {type: 'events-request' | 'events-reply'}): Promise<void> {
		if (message.type === 'events-reply') {
			this.replies.reply(link, message.id, message);
			return;
		}

		const {filter, timeoutMs} = message;
		const reply = await this.#answer(message.scope, filter, timeoutMs * forwardedTimeoutRatio);
		this.links.send(link, {
			type: 'events-reply', id: message.id, events: reply.events.slice(-maxEventsPerReply), answered: [...reply.answered], silent: [...reply.silent],
		});
	}

	linkLost(link: Link): void {
		this.replies.linkLost(link);
	}

	async #answer(scope: Scope, filter: EventFilter, timeoutMs: Ms): Promise<Reply> {
		const own: Reply = {events: this.ring.select(filter).slice(-maxEventsPerProcess), answered: [this.links.self.name], silent: []};
		switch (scope) {
			case 'process': {
				return own;
			}

			case 'zone': {
				return mergeReplies([own, await this.#queryZone(filter, timeoutMs)]);
			}

			case 'other_zones': {
				return this.#queryLinkedZones(filter, timeoutMs);
			}
		}
	}

	async #queryZone(filter: EventFilter, timeoutMs: Ms): Promise<Reply> {
		const {membership, self} = this.links;
		const peers = this.links.up().filter(link => link.peer.zone === self.zone);
		const replies = await Promise.all(peers.map(link => this.#query(link, filter, timeoutMs, 'process')));
		const responded = new Set(replies.flatMap(reply => reply.answered));
		const silent = membership.members().filter(member => member.zone === self.zone && !responded.has(member.name)).map(member => member.name);
		return mergeReplies([...replies, {events: [], answered: [], silent}]);
	}

	async #queryOtherZones(filter: EventFilter, timeoutMs: Ms): Promise<Reply> {
		const {membership, self} = this.links;
		if (membership.isGateway) {
			return this.#queryLinkedZones(filter, timeoutMs);
		}

		const gateway = membership.gateways(self.zone).map(name => this.links.byName(name)).find(link => link !== undefined);
		return gateway ? this.#query(gateway, filter, timeoutMs, 'other_zones') : mergeReplies([]);
	}

	async #queryLinkedZones(filter: EventFilter, timeoutMs: Ms): Promise<Reply> {
		const byZone = new Map<string, Link>();
		for (const link of this.links.up()) {
			if (link.peer.zone !== this.links.self.zone && !byZone.has(link.peer.zone)) {
				byZone.set(link.peer.zone, link);
			}
		}

		return mergeReplies(await Promise.all([...byZone.values()].map(link => this.#query(link, filter, timeoutMs, 'zone'))));
	}

	async #query(link: Link, filter: EventFilter, timeoutMs: Ms, scope: Scope): Promise<Reply> {
		const reply = await this.replies.request(link, timeoutMs, id => this.links.send(link, {
			type: 'events-request', id, filter, timeoutMs, scope,
		}));
		return typeof reply === 'string' ? {events: [], answered: [], silent: [link.peer.name]} : reply;
	}
}

function mergeReplies(replies: readonly Reply[]): Reply {
	return {
		events: replies.flatMap(reply => reply.events), answered: replies.flatMap(reply => reply.answered), silent: replies.flatMap(reply => reply.silent),
	};
}
