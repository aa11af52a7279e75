import type {Registry} from 'prom-client';
import type {Clock, Ms} from '../clock/index.js';
import type {ConfigEndpoint} from '../config/index.js';
import type {
	CollectedEvents, EventFilter, EventRing, HybridClock, PeerEvents,
} from '../events/index.js';
import type {ListenAddress} from '../http/index.js';
import type {PartLogger} from '../logging/index.js';
import type {VmList} from '../vms/index.js';
import type {Random} from '../random/index.js';
import type {RequestForwarder, RequestResult, RequestRunner} from '../requests/index.js';
import type {ZoneDigest, ZoneView} from '../teams/index.js';
import {ConfigTransfer} from './config-transfer.js';
import {DigestExchange, digestIntervalMs, type DigestSource} from './digest-exchange.js';
import {DrainingGossip, type DrainingNotifier} from './draining-gossip.js';
import {EventCollector} from './event-collector.js';
import {ForwardService} from './forward-service.js';
import {LinkMetrics, type LinkDistance} from './link-metrics.js';
import {LinkError} from './link-error.js';
import type {LinkIdentity} from './link-identity.js';
import type {LinkKey} from './link-key.js';
import {LinkListener} from './link-listener.js';
import type {LinkMessage, LinkTime} from './link-message.js';
import {dialLink} from './dial-link.js';
import type {Link} from './link.js';
import {Membership, type Member, type PeerAddress} from './membership.js';
import type {MeshLinks} from './mesh-links.js';
import {PeerLinks} from './peer-links.js';
import type {PeerState} from './peer-state.js';
import {Roster} from './roster.js';
import {TargetWatchers} from './target-watchers.js';
import {VmListPoller} from './vm-list-poller.js';

/** Link settings of an entry VM. */
export interface LinkSettings {
	readonly key: LinkKey;
	/** Address on which peers connect; without it the entry VM only dials. */
	readonly listen: ListenAddress | undefined;
	readonly peers: readonly PeerAddress[];
}

/** Settings and dependencies of a link mesh. */
export interface LinkMeshOptions extends LinkSettings {
	readonly self: LinkIdentity;
	readonly clock: Clock;
	readonly random: Random;
	readonly vmList: VmList;
	readonly registry: Registry;
	readonly logger: PartLogger;
	readonly events: EventRing;
	/** Hybrid logical clock: provides the timestamps of sent messages, and is merged with those of received ones. */
	readonly hybridClock: HybridClock | undefined;
	readonly regionOf: (zone: string) => string | undefined;
	readonly runner: Pick<RequestRunner, 'run'>;
	/** Receives the configuration offsets and states of peers, and provides the state to send to them. */
	readonly config: ConfigEndpoint;
	/** Returns the offset up to which the configuration stream was applied. */
	readonly configOffset: () => number;
	readonly digest: DigestSource;
}

/**
 * Links an entry VM to the others. The links carry load digests, notifications of draining targets, configuration
 * offsets and states, requests forwarded to the entry VM that minted their key, and events.
 *
 * @example
 * const mesh = await LinkMesh.create(options);
 * mesh.onDraining((target, startId, source) => targets.markDraining(target, startId, source));
 */
export class LinkMesh implements ZoneView, DrainingNotifier, RequestForwarder, PeerEvents {
	/** Starts listening and dialling. Throws when the address cannot be bound. */
	static async create(options: LinkMeshOptions): Promise<LinkMesh> {
		const mesh = new LinkMesh(options);
		await mesh.#start();
		return mesh;
	}

	readonly #membership: Membership;
	readonly #links: PeerLinks;
	readonly #roster: Roster;
	readonly #draining: DrainingGossip;
	readonly #config: ConfigTransfer;
	readonly #watchers: TargetWatchers;
	readonly #digests: DigestExchange;
	readonly #forwards: ForwardService;
	readonly #collector: EventCollector;
	readonly #vmList: VmListPoller;
	#listener: LinkListener | undefined;
	#cancelDigest: () => void = () => undefined;

	private constructor(private readonly options: LinkMeshOptions) {
		const {clock, self, events} = options;
		this.#membership = Membership.create({self, peers: options.peers, events});
		this.#links = PeerLinks.create({
			...options,
			membership: this.#membership,
			metrics: LinkMetrics.create(options.registry),
			connect: address => dialLink(address),
			distanceTo: zone => this.#distanceTo(zone),
			onUp: () => {
				this.#roster.publish();
			},
			onMessage: (link, message, time) => {
				this.#receive(link, message, time);
			},
			onClosed: link => {
				this.#linkLost(link);
			},
			onDropped: (link, cause) => {
				this.#digests.dropped(link, cause);
			},
		});
		const links = this.#meshLinks();
		this.#roster = Roster.create(links);
		this.#draining = DrainingGossip.create(links);
		this.#config = ConfigTransfer.create(links, options.config);
		this.#watchers = TargetWatchers.create(options.self.name);
		this.#digests = DigestExchange.create({
			clock, links, source: options.digest, config: this.#config, offset: options.configOffset, draining: this.#draining,
		});
		this.#forwards = ForwardService.create({
			clock, links, roster: this.#roster, runner: options.runner,
		});
		this.#collector = EventCollector.create({clock, links, ring: events});
		this.#vmList = VmListPoller.create({
			clock,
			vmList: options.vmList,
			random: options.random,
			logger: options.logger,
			onList: snapshot => {
				this.#membership.applyList(snapshot);
			},
		});
	}

	/** Port on which peers connect; 0 without a listener. */
	get port(): number {
		return this.#listener?.port ?? 0;
	}

	/** Returns the members that are not gone, without this entry VM. */
	members(): readonly Member[] {
		return this.#membership.members();
	}

	/** True when this entry VM is a gateway, which links its zone to other zones. */
	get isGateway(): boolean {
		return this.#membership.isGateway;
	}

	/**
	 * Returns true when this entry VM probes a target. It probes targets of another zone only while every known member
	 * there is suspect.
	 */
	isWatcher(target: string, zone: string): boolean {
		const {self} = this.options;
		if (zone !== self.zone) {
			return !this.members().some(member => member.zone === zone && member.state !== 'suspect');
		}

		return this.#watchers.isWatcher(target, this.#links.up().filter(link => link.peer.zone === zone).map(link => link.peer.name));
	}

	/** Returns the names of the linked peers. */
	linked(): readonly string[] {
		return this.#links.up().map(link => link.peer.name);
	}

	peerDigests(): readonly ZoneDigest[] {
		return this.#digests.peerDigests();
	}

	/** Returns the latest summaries of other zones, whose `process` is the zone's name; empty except at gateways. */
	summaries(): readonly ZoneDigest[] {
		return this.#digests.summaries();
	}

	publish(target: string, startId: string): void {
		this.#draining.publish(target, startId);
	}

	onDraining(listener: (target: string, startId: string, source: string) => void): () => void {
		return this.#draining.onDraining(listener);
	}

	async forward(pipeline: string, body: unknown, incarnation: string, deadlineMs: Ms, requestId?: string): Promise<RequestResult | 'gone'> {
		return this.#forwards.forward(pipeline, body, incarnation, deadlineMs, requestId);
	}

	async collect(filter: EventFilter, timeoutMs: Ms): Promise<CollectedEvents> {
		return this.#collector.collect(filter, timeoutMs);
	}

	/** Requests a configuration newer than an offset; a reply is passed to `LinkMeshOptions.config`. */
	requestConfig(afterOffset: number): void {
		this.#config.request(afterOffset);
	}

	/** Returns the state of each peer, for the operators' status. */
	peerStates(): PeerState[] {
		return this.members().map(({name, zone, state}) => ({
			name, zone: zone ?? '', state, offset: this.#config.offsetOf(name), linked: this.#links.byName(name) !== undefined, lastHeardMs: this.#links.sinceLastFrameMs(name), linkMissingMs: this.#links.linkMissingMs(name),
		}));
	}

	/** Closes every link. */
	async close(): Promise<void> {
		this.#vmList.stop();
		this.#cancelDigest();
		this.#links.close();
		await this.#listener?.close();
	}

	async #start(): Promise<void> {
		const {listen} = this.options;
		if (listen) {
			this.#listener = await LinkListener.create({listen, accept: socket => this.#links.accept(socket)});
		}

		this.#links.start();
		this.#vmList.start();
		this.#scheduleDigest();
	}

	#scheduleDigest(): void {
		this.#cancelDigest = this.options.clock.after(digestIntervalMs, () => {
			this.#scheduleDigest();
			this.#digests.publish();
			this.#roster.publish();
		});
	}

	#receive(link: Link, message: LinkMessage, time: LinkTime | undefined): void {
		if (time) {
			this.options.hybridClock?.merge({physicalMs: time[0], logical: time[1]});
		}

		switch (message.type) {
			case 'digest':
			case 'summary': {
				// Digests are valid only within a zone and summaries only between zones.
				if ((message.type === 'digest') !== (link.peer.zone === this.options.self.zone)) {
					throw LinkError.create('bad_frame', `Cannot accept a ${message.type} from zone ${link.peer.zone}: digests stay in a zone, summaries go to other zones`);
				}

				this.#digests.receive(link, message);
				break;
			}

			case 'roster': {
				this.#roster.receive(link, message);
				break;
			}

			case 'draining': {
				this.#draining.receive(link, message);
				break;
			}

			case 'config-request':
			case 'config-state': {
				this.#config.receive(link, message);
				break;
			}

			case 'forward':
			case 'forward-reply': {
				void this.#forwards.receive(link, message);
				break;
			}

			case 'events-request':
			case 'events-reply': {
				void this.#collector.receive(link, message);
				break;
			}

			// Heartbeats, and messages that are sent over a `RelayMesh` only.
			default: {
				break;
			}
		}
	}

	#linkLost(link: Link): void {
		this.#digests.linkLost(link);
		this.#roster.linkLost(link);
		this.#config.linkLost(link);
		this.#forwards.linkLost(link);
		this.#collector.linkLost(link);
	}

	#meshLinks(): MeshLinks {
		const {self, hybridClock: hybrid} = this.options;
		const links = this.#links;
		const time = (): LinkTime | undefined => {
			const now = hybrid?.tick();
			return now && [now.physicalMs, now.logical];
		};

		return {
			self,
			membership: this.#membership,
			up: () => links.up(),
			byName: name => links.byName(name),
			byIncarnation: incarnation => links.byIncarnation(incarnation),
			time,
			send: (link, message) => link.send(message, time()),
		};
	}

	#distanceTo(zone: string): LinkDistance {
		const {self, regionOf} = this.options;
		if (zone === self.zone) {
			return 'same_zone';
		}

		const [own, other] = [regionOf(self.zone), regionOf(zone)];
		if (own === undefined || other === undefined) {
			return 'unknown';
		}

		return own === other ? 'other_zone' : 'other_region';
	}
}

