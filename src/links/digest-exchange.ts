import type {Clock, Ms} from '../clock/index.js';
import type {TeamWork, ZoneDigest, ZoneView} from '../teams/index.js';
import type {ConfigTransfer} from './config-transfer.js';
import {DigestDecoder} from './digest-decoder.js';
import {DigestEncoder, type EncodedDigest} from './digest-encoder.js';
import type {DrainingGossip} from './draining-news.js';
import {
	encodeLinkMessage, type LinkMessage, type LinkMessageType,
} from './link-message.js';
import type {Link} from './link.js';
import type {MeshLinks} from './mesh-links.js';

/** Interval of digests. */
export const digestIntervalMs: Ms = 1000;
/** A digest older than three intervals says nothing of the present. */
const maxAgeMs: Ms = 3 * digestIntervalMs;

/** Where an entry VM's digest comes from. */
export interface DigestSource {
	/** Estimated work by team and pool, and calls in flight by target. Called once for each digest that is sent. */
	local(): Pick<ZoneDigest, 'work' | 'inFlight'>;
	draining(): ZoneDigest['draining'];
}

type OwnDigest = Omit<ZoneDigest, 'sequence'>;
type Received = {digest: ZoneDigest; atMs: Ms};

/**
 * Sends digests to the peers of the zone and summaries of the zone to other zones each second, and keeps the latest
 * of each peer. Deltas go to peers that have the digest before, whole digests to the others.
 *
 * @internal
 */
export class DigestExchange implements ZoneView {
	static create(options: {clock: Clock; links: MeshLinks; source: DigestSource; config: ConfigTransfer; offset: () => number; draining: DrainingGossip}): DigestExchange {
		return new DigestExchange(options);
	}

	readonly #digestEncoder = DigestEncoder.create();
	readonly #summaryEncoder = DigestEncoder.create();
	readonly #hasPrevious = {digest: new Set<Link>(), summary: new Set<Link>()};
	readonly #decoders = new Map<Link, DigestDecoder>();
	readonly #received = new Map<Link, Received>();

	private constructor(private readonly options: {clock: Clock; links: MeshLinks; source: DigestSource; config: ConfigTransfer; offset: () => number; draining: DrainingGossip}) {}

	peerDigests(): readonly ZoneDigest[] {
		return this.#fresh(link => link.peer.zone === this.options.links.self.zone);
	}

	/** Latest summaries of other zones, `process` being the zone's name; at gateways only. */
	summaries(): readonly ZoneDigest[] {
		return this.#fresh(link => link.peer.zone !== this.options.links.self.zone);
	}

	/** Sends this second's digest and summary. */
	publish(): void {
		const {links} = this.options;
		const {self, membership} = links;
		const own = this.#own();
		const up = links.up();
		this.#send('digest', up.filter(link => link.peer.zone === self.zone), this.#digestEncoder.next(own));
		// One gateway tells each other zone once: bytes across zones are billed.
		const others = up.filter(link => link.peer.zone !== self.zone);
		const isTeller = membership.gateways(self.zone)[0] === self.name;
		const first = new Map(others.toReversed().map(link => [link.peer.zone, link]));
		if (isTeller && first.size > 0) {
			this.#send('summary', [...first.values()], this.#summaryEncoder.next(this.#summary(own)));
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
		this.options.config.learn(link, digest.configOffset);
		if (message.digest?.d) {
			for (const news of digest.draining) {
				this.options.draining.receive(link, news);
			}
		}
	}

	/** A digest did not reach the peer, so the next one must be whole. */
	dropped(link: Link, cause: LinkMessageType): void {
		if (cause === 'digest' || cause === 'summary') {
			this.#hasPrevious[cause].delete(link);
		}
	}

	linkLost(link: Link): void {
		this.#hasPrevious.digest.delete(link);
		this.#hasPrevious.summary.delete(link);
		this.#decoders.delete(link);
		this.#received.delete(link);
	}

	#own(): OwnDigest {
		const {links, source, offset} = this.options;
		return {
			process: links.self.name, incarnation: links.self.incarnation, ...source.local(), draining: source.draining(), configOffset: offset(),
		};
	}

	/** Work of the whole zone by team and pool, without targets. */
	#summary(own: OwnDigest): OwnDigest {
		const work = new Map<string, TeamWork>();
		for (const row of [own, ...this.peerDigests()].flatMap(digest => digest.work)) {
			const key = `${row.team}\0${row.pool}`;
			const sum = work.get(key);
			work.set(key, {...row, inFlightMs: row.inFlightMs + (sum?.inFlightMs ?? 0), queuedMs: row.queuedMs + (sum?.queuedMs ?? 0)});
		}

		return {...own, work: [...work.values()], inFlight: []};
	}

	#send(type: 'digest' | 'summary', targets: readonly Link[], encoded: EncodedDigest): void {
		const hasPrevious = this.#hasPrevious[type];
		const full = lazy(() => encodeLinkMessage({type, digest: encoded.full}, this.options.links.time()));
		const delta = encoded.delta && lazy(() => encodeLinkMessage(encoded.delta === 'unchanged' ? {type} : {type, digest: encoded.delta!}));
		const current = new Set(targets);
		for (const link of hasPrevious) {
			// A peer that was passed over this time lacks the base of the next delta.
			if (!current.has(link)) {
				hasPrevious.delete(link);
			}
		}

		for (const link of targets) {
			const payload = delta && hasPrevious.has(link) ? delta() : full();
			if (link.sendPayload(type, payload)) {
				hasPrevious.add(link);
			} else {
				hasPrevious.delete(link);
			}
		}
	}

	#fresh(select: (link: Link) => boolean): ZoneDigest[] {
		const oldest = this.options.clock.now() - maxAgeMs;
		return [...this.#received].filter(([link, received]) => select(link) && received.atMs >= oldest).map(([, received]) => received.digest);
	}
}

function lazy<T>(make: () => T): () => T {
	let value: T | undefined;
	return () => {
		value ??= make();
		return value;
	};
}
