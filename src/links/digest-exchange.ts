import type {Clock, Ms} from '../clock/index.js';
import type {TeamWork, ZoneDigest, ZoneView} from '../teams/index.js';
import type {ConfigTransfer} from './config-transfer.js';
import {DigestDecoder} from './digest-decoder.js';
import {DigestEncoder, type EncodedDigest} from './digest-encoder.js';
import type {DrainingGossip} from './draining-gossip.js';
import {
	encodeLinkMessage, type LinkMessage, type LinkMessageType,
} from './link-message.js';
import type {Link} from './link.js';
import type {MeshLinks} from './mesh-links.js';

/** Interval at which digests are sent. */
export const digestIntervalMs: Ms = 1000;
/** Age after which a received digest is ignored as outdated. */
const maxDigestAgeMs: Ms = 3 * digestIntervalMs;

/** Source of the data in the digests that an entry VM sends. */
export interface DigestSource {
	/** Returns estimated work by team and pool, and calls in flight by target. Called once per digest interval. */
	localLoad(): Pick<ZoneDigest, 'work' | 'inFlight'>;
	draining(): ZoneDigest['draining'];
}

type LocalDigest = Omit<ZoneDigest, 'sequence'>;
type Received = {digest: ZoneDigest; atMs: Ms};

/**
 * Exchanges digests with the peers of the zone and summaries of the zone with other zones once per second, and stores
 * the latest one from each peer. Peers that have received the previous digest are sent a delta, other peers the full
 * digest.
 *
 * @internal
 */
export class DigestExchange implements ZoneView {
	static create(options: {clock: Clock; links: MeshLinks; source: DigestSource; config: ConfigTransfer; offset: () => number; draining: DrainingGossip}): DigestExchange {
		return new DigestExchange(options);
	}

	readonly #digestEncoder = DigestEncoder.create();
	readonly #summaryEncoder = DigestEncoder.create();
	readonly #linksWithPrevious = {digest: new Set<Link>(), summary: new Set<Link>()};
	readonly #decoders = new Map<Link, DigestDecoder>();
	readonly #received = new Map<Link, Received>();

	private constructor(private readonly options: {clock: Clock; links: MeshLinks; source: DigestSource; config: ConfigTransfer; offset: () => number; draining: DrainingGossip}) {}

	peerDigests(): readonly ZoneDigest[] {
		return this.#recentDigests(link => link.peer.zone === this.options.links.self.zone);
	}

	/** Latest summaries of other zones, with the zone name as `process`. Only gateways receive them. */
	summaries(): readonly ZoneDigest[] {
		return this.#recentDigests(link => link.peer.zone !== this.options.links.self.zone);
	}

	/** Sends the current digest and summary. */
	publish(): void {
		const {links} = this.options;
		const {self, membership} = links;
		const localDigest = this.#localDigest();
		const up = links.up();
		this.#send('digest', up.filter(link => link.peer.zone === self.zone), this.#digestEncoder.encode(localDigest));
		// Only one gateway sends the summary, to one peer per zone, since traffic between zones is billed.
		const otherZoneLinks = up.filter(link => link.peer.zone !== self.zone);
		const isSummarySender = membership.gateways(self.zone)[0] === self.name;
		const linkByZone = new Map(otherZoneLinks.toReversed().map(link => [link.peer.zone, link]));
		if (isSummarySender && linkByZone.size > 0) {
			this.#send('summary', [...linkByZone.values()], this.#summaryEncoder.encode(this.#summary(localDigest)));
		}
	}

	receive(link: Link, message: LinkMessage & {type: 'digest' | 'summary'}): void {
		let decoder = this.#decoders.get(link);
		if (!decoder) {
			decoder = DigestDecoder.create(message.type === 'digest' ? link.peer : {name: link.peer.zone, incarnation: link.peer.incarnation});
			this.#decoders.set(link, decoder);
		}

		const digest = decoder.apply(message.digest);
		this.#received.set(link, {digest, atMs: this.options.clock.now()});
		this.options.config.updateOffset(link, digest.configOffset);
		if (message.digest?.d) {
			for (const notification of digest.draining) {
				this.options.draining.receive(link, notification);
			}
		}
	}

	/** Handles a message dropped from the queue. If it was a digest or summary, the next one is sent in full. */
	dropped(link: Link, cause: LinkMessageType): void {
		if (cause === 'digest' || cause === 'summary') {
			this.#linksWithPrevious[cause].delete(link);
		}
	}

	linkLost(link: Link): void {
		this.#linksWithPrevious.digest.delete(link);
		this.#linksWithPrevious.summary.delete(link);
		this.#decoders.delete(link);
		this.#received.delete(link);
	}

	#localDigest(): LocalDigest {
		const {links, source, offset} = this.options;
		return {
			process: links.self.name, incarnation: links.self.incarnation, ...source.localLoad(), draining: source.draining(), configOffset: offset(),
		};
	}

	/** Total work of the zone by team and pool, without calls in flight by target. */
	#summary(localDigest: LocalDigest): LocalDigest {
		const work = new Map<string, TeamWork>();
		for (const row of [localDigest, ...this.peerDigests()].flatMap(digest => digest.work)) {
			const key = `${row.team}\0${row.pool}`;
			const total = work.get(key);
			work.set(key, {...row, inFlightMs: row.inFlightMs + (total?.inFlightMs ?? 0), queuedMs: row.queuedMs + (total?.queuedMs ?? 0)});
		}

		return {...localDigest, work: [...work.values()], inFlight: []};
	}

	#send(type: 'digest' | 'summary', recipients: readonly Link[], encoded: EncodedDigest): void {
		const linksWithPrevious = this.#linksWithPrevious[type];
		const full = lazy(() => encodeLinkMessage({type, digest: encoded.full}, this.options.links.time()));
		const delta = encoded.delta && lazy(() => encodeLinkMessage(encoded.delta === 'unchanged' ? {type} : {type, digest: encoded.delta!}));
		const current = new Set(recipients);
		for (const link of linksWithPrevious) {
			// A peer that is not sent this digest does not have the base of the next delta.
			if (!current.has(link)) {
				linksWithPrevious.delete(link);
			}
		}

		for (const link of recipients) {
			const payload = delta && linksWithPrevious.has(link) ? delta() : full();
			if (link.sendPayload(type, payload)) {
				linksWithPrevious.add(link);
			} else {
				linksWithPrevious.delete(link);
			}
		}
	}

	#recentDigests(select: (link: Link) => boolean): ZoneDigest[] {
		const oldest = this.options.clock.now() - maxDigestAgeMs;
		return [...this.#received].filter(([link, received]) => select(link) && received.atMs >= oldest).map(([, received]) => received.digest);
	}
}

function lazy<T>(compute: () => T): () => T {
	let value: T | undefined;
	return () => {
		value ??= compute();
		return value;
	};
}
