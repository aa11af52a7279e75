import type {Registry} from 'prom-client';
import {errorMessage} from '../errors/index.js';
import type {Clock, Ms} from '../clock/index.js';
import type {EventRecorder} from '../events/index.js';
import type {ListenAddress} from '../http/index.js';
import type {PartLogger} from '../logging/index.js';
import type {Random} from '../random/index.js';
import type {VmList} from '../vms/index.js';
import {CellMap} from './cell-map.js';
import {dialLink} from './dial-link.js';
import {LinkMetrics, type LinkDistance} from './link-metrics.js';
import type {LinkIdentity} from './link-identity.js';
import type {LinkKey} from './link-key.js';
import {LinkListener} from './link-listener.js';
import {encodeLinkMessage, type LinkMessage} from './link-message.js';
import type {Link} from './link.js';
import {Membership} from './membership.js';
import {PeerLinks} from './peer-links.js';
import {VmListPoller} from './vm-list-poller.js';

/** Heartbeat interval of members that do not lead. */
const memberPingMs: Ms = 600;
/** Heartbeat interval of a leader. Requests wait for their stages until a lost leader is detected, after three intervals. */
const leaderPingMs: Ms = 300;
/** Number of other entry VMs, in the order of succession, that stay linked: the second leads when the first is lost. */
const linkedLeaderCandidates = 2;
/** Maximum number of members to dial, however many are lost. */
const maxDialled = 16;

/** Maximum age of a list of entry VMs that counts as current; reads of it wait for changes for a shorter time. */
const currentListMs: Ms = 15_000;

/** Sorts after every start id, so that a member whose start is unknown is the last in the order of succession. */
const unknownStartId = '\uFFFF';

/** Settings and dependencies of a relay mesh. */
export interface RelayMeshOptions {
	/** The incarnation must sort by start time. */
	readonly self: LinkIdentity;
	readonly key: LinkKey;
	readonly listen: ListenAddress;
	readonly clock: Clock;
	readonly random: Random;
	readonly vmList: VmList;
	readonly intervals: {readonly busyMs: Ms; readonly quietMs: Ms; readonly quietAfterMs: Ms};
	readonly registry: Registry;
	readonly logger: PartLogger;
	readonly events: EventRecorder;
	readonly distanceTo: (zone: string) => LinkDistance;
	readonly regionOf: (zone: string) => string | undefined;
	readonly onMessage: (link: Link, message: LinkMessage) => void;
	/** Called with the number of entry VMs, this one included, once a list of them has been read; `isCurrent` tells whether that list is up to date. */
	readonly onSize?: (size: number, isCurrent: boolean) => void;
	readonly onUp?: (link: Link) => void;
	readonly onLost: (link: Link) => void;
}

/**
 * Own cell: its key, the names of its members in the order of succession and by age, this entry VM included, and those of
 * the other cells in the order of succession.
 */
type OwnCell = {readonly cells: CellMap; readonly key: string; readonly names: readonly string[]; readonly namesByAge: readonly string[]; readonly others: ReadonlyMap<string, readonly string[]>};

type OrderedMember = {readonly name: string; readonly cell: string; readonly startId: string; readonly isStandby: boolean};

/**
 * Links a relaying entry VM to the others of its cell and elects the leader of the cell, which hosts the stage pools. The
 * member that has run longest leads, so that a newly started one takes no work over from a working leader. A member that
 * is shutting down cannot lead, and one that stands by leads only if no other can.
 *
 * @example
 * const leader = mesh.leader();
 */
export class RelayMesh {
	/** Starts listening and dialling. Throws when the address cannot be bound. */
	static async create(options: RelayMeshOptions): Promise<RelayMesh> {
		// The address is bound before anything is registered, so that a failed try leaves nothing that the next one meets.
		let mesh: RelayMesh | undefined;
		const listener = await LinkListener.create({listen: options.listen, accept: socket => mesh!.#links.accept(socket)});
		try {
			mesh = new RelayMesh(options, listener);
		} catch (err) {
			await listener.close();
			throw err;
		}

		mesh.#links.start();
		mesh.#vmList.start();
		return mesh;
	}

	readonly #membership: Membership;
	readonly #links: PeerLinks;
	readonly #vmList: VmListPoller;
	/** Incarnations that announced their shutdown. */
	readonly #leavingIncarnations = new Set<string>();
	/** Linked incarnations that stand by; one says so on each new link. */
	readonly #standbyIncarnations = new Set<string>();
	/** Cached cell and the version of the members that it was derived from. */
	#cell: OwnCell | undefined;
	#cellVersion = -1;
	#isLeaving = false;
	#isStandby = false;
	#hasList = false;

	private constructor(private readonly options: RelayMeshOptions, private readonly listener: LinkListener) {
		const {self, events, clock, random, vmList, logger, intervals} = options;
		this.#membership = Membership.create({self, peers: [], events});
		this.#links = PeerLinks.create({
			...options,
			membership: this.#membership,
			metrics: LinkMetrics.create(options.registry),
			connect: address => dialLink(address),
			neededNames: () => this.#neededNames(),
			pingMs: memberPingMs,
			fastPing: {intervalMs: leaderPingMs, isActive: () => this.leader() === undefined},
			onUp: link => {
				if (this.#isLeaving) {
					link.send({type: 'leaving'});
				}

				if (this.#isStandby) {
					link.send({type: 'standby', isOn: true});
				}

				options.onUp?.(link);
				this.#reportSize(false);
			},
			onMessage: (link, message) => {
				if (message.type === 'leaving') {
					this.#leavingIncarnations.add(link.peer.incarnation);
					this.#cell = undefined;
					options.logger.info('A peer is shutting down and can no longer lead.', {peer: link.peer.name});
					this.#dialSuccessors();
				} else {
					if (message.type === 'standby') {
						this.#setPeerStandby(link, message.isOn);
					}

					this.#deliver(link, message);
				}
			},
			onClosed: link => {
				this.#standbyIncarnations.delete(link.peer.incarnation);
				this.#cell = undefined;
				options.onLost(link);
				this.#dialSuccessors();
			},
			onDropped: () => undefined,
		});
		this.#vmList = VmListPoller.create({
			clock,
			random,
			vmList,
			logger,
			intervals,
			onList: snapshot => {
				this.#hasList ||= snapshot.vms.length > 0;
				this.#membership.applyList(snapshot);
				this.#reportSize(snapshot.vms.length > 0 && clock.wall() - snapshot.asOfMs < currentListMs);
			},
		});
	}

	/** Port on which peers connect. */
	get port(): number {
		return this.listener.port;
	}

	/** Number of members that are not gone, including this entry VM. */
	get size(): number {
		return this.#membership.members().length + 1;
	}

	/** Share of the members of the cell that are linked, from 0 to 1; this entry VM counts as linked. */
	get linkedShare(): number {
		const {names} = this.#ownCell();
		return names.filter(name => name === this.options.self.name || this.#links.byName(name)).length / names.length;
	}

	/** Number of members of the cell, this entry VM included. */
	get cellSize(): number {
		return this.#ownCell().names.length;
	}

	/** Returns the names of the members that may watch the targets of a zone: those in it, or the one that decides about it if it has none. */
	watchersOf(zone: string): readonly string[] {
		const {self} = this.options;
		const names = this.#membership.members().filter(member => member.zone === zone).map(({name}) => name);
		if (zone === self.zone || (names.length === 0 && this.coordinatorOf(zone) === 'self')) {
			names.push(self.name);
		}

		return names.toSorted();
	}

	/** True once this entry VM has read a non-empty VM list and either has a link or knows no other member of its cell. */
	get isSettled(): boolean {
		return this.#hasList && (this.#ownCell().names.length === 1 || this.#links.up().length > 0);
	}

	/** Whether a zone belongs to the cell of this entry VM. */
	isInCell(zone: string): boolean {
		const {cells, key} = this.#ownCell();
		return cells.of(zone) === key;
	}

	/** Sends a message to the linked members of the cell; it is encoded once. */
	broadcast(message: LinkMessage): void {
		this.#send(message, this.#links.up().filter(link => this.isInCell(link.peer.zone)));
	}

	/** Sends a message to the linked members of other cells, which are their leaders; only a leader has links to them. */
	broadcastToLeaders(message: LinkMessage): void {
		this.#send(message, this.#links.up().filter(link => !this.isInCell(link.peer.zone)));
	}

	/** Returns all links. */
	links(): readonly Link[] {
		return this.#links.up();
	}

	/** Returns the link to a member. */
	linkTo(name: string): Link | undefined {
		return this.#links.byName(name);
	}

	/** Returns the link to the leader; `undefined` when no linked member ranks before this entry VM, which then leads. */
	leader(): Link | undefined {
		for (const name of this.#ownCell().names) {
			if (name === this.options.self.name) {
				return undefined;
			}

			const link = this.#links.byName(name);
			if (link && !this.#leavingIncarnations.has(link.peer.incarnation)) {
				return link;
			}
		}

		return undefined;
	}

	/**
	 * Returns the link towards the one entry VM that decides for the whole fleet about targets of a zone: the leader of the
	 * cell of the zone, or of the first cell if the zone has no entry VM. `self` if it is this one, `undefined` if it is not
	 * reachable.
	 */
	coordinatorOf(zone: string): Link | 'self' | undefined {
		const leader = this.leader();
		if (leader) {
			return leader;
		}

		const {cells, key, others} = this.#ownCell();
		const keys = [key, ...others.keys()].toSorted();
		const cell = keys.find(other => other === cells.of(zone)) ?? keys[0]!;
		if (cell === key) {
			return 'self';
		}

		return others.get(cell)!.map(name => this.#links.byName(name)).find(link => link && !this.#leavingIncarnations.has(link.peer.incarnation));
	}

	/** Replaces the key for links to be made; those that exist go on. */
	setKey(key: LinkKey): void {
		this.#links.setKey(key);
	}

	/** Announces to the others that this entry VM is shutting down. */
	leave(): void {
		this.#isLeaving = true;
		this.#cell = undefined;
		for (const link of this.#links.up()) {
			link.send({type: 'leaving'});
		}
	}

	/** Stands by as a leader, or ends that, and tells the linked members. */
	setStandby(isOn: boolean): void {
		this.#isStandby = isOn;
		this.#cell = undefined;
		this.#send({type: 'standby', isOn}, this.#links.up());
	}

	#reportSize(isCurrent: boolean): void {
		if (this.#hasList) {
			this.options.onSize?.(this.size, isCurrent);
		}
	}

	/** Passes a message on. An error in what is done with it is no fault of the link, whose loss would end all that goes over it. */
	#deliver(link: Link, message: LinkMessage): void {
		try {
			this.options.onMessage(link, message);
		} catch (err) {
			this.options.logger.error('Cannot handle a message of a peer.', {
				peer: link.peer.name, type: message.type, error: errorMessage(err), stack: err instanceof Error ? err.stack : undefined,
			});
		}
	}

	/** Closes every link. */
	async close(): Promise<void> {
		this.#vmList.stop();
		this.#links.close();
		await this.listener.close();
	}

	#send(message: LinkMessage, links: readonly Link[]): void {
		if (links.length > 0) {
			const payload = encodeLinkMessage(message);
			for (const link of links) {
				link.sendPayload(message.type, payload);
			}
		}
	}

	/** Returns the members that this entry VM needs a link to: the next ones to lead its cell and, at a leader, the leaders of other cells. */
	#neededNames(): readonly string[] {
		const {names, namesByAge, others} = this.#ownCell();
		// Those that stand by tell only linked members when it ends.
		const own = [...new Set([names, namesByAge].flatMap(order => this.#firstExpected(order.filter(name => name !== this.options.self.name), linkedLeaderCandidates)))];
		return this.leader() ? own : [...own, ...[...others.values()].flatMap(other => this.#firstExpected(other, 1))];
	}

	/**
	 * Returns names up to and including the `count`-th one that is linked or expected to answer: the others would be dialled
	 * in vain by every member at once when a fleet starts.
	 */
	#firstExpected(names: readonly string[], count: number): readonly string[] {
		let expected = 0;
		return names.slice(0, maxDialled).filter(name => {
			const isNeeded = expected < count;
			expected += this.#links.isLinkedOrExpected(name) ? 1 : 0;
			return isNeeded;
		});
	}

	#setPeerStandby(link: Link, isOn: boolean): void {
		const {name, incarnation} = link.peer;
		if (isOn) {
			this.#standbyIncarnations.add(incarnation);
		} else {
			this.#standbyIncarnations.delete(incarnation);
		}

		this.#cell = undefined;
		this.options.logger.info('A peer stands by as a leader, or has ended that.', {peer: name, is_on: isOn, leader: this.leader()?.peer.name ?? this.options.self.name});
		this.#dialSuccessors();
	}

	/** Dials the next members to lead without waiting for a heartbeat, if this entry VM leads only since it has no link to them. */
	#dialSuccessors(): void {
		if (!this.leader() && this.#ownCell().names[0] !== this.options.self.name) {
			this.#links.dialNeeded();
		}
	}

	#ownCell(): OwnCell {
		if (!this.#cell || this.#cellVersion !== this.#membership.version) {
			this.#cellVersion = this.#membership.version;
			this.#cell = this.#findCell();
		}

		return this.#cell;
	}

	/** Returns the cell with its names longest-running first, behind them those that stand by; this entry VM comes last while it shuts down. */
	#findCell(): OwnCell {
		const {self, regionOf} = this.options;
		const members = this.#membership.members();
		const cells = CellMap.create({zones: [self.zone, ...members.flatMap(member => member.zone ?? [])], regionOf});
		const key = cells.of(self.zone);
		const byAge: OrderedMember[] = [
			{
				name: self.name, cell: key, startId: this.#isLeaving ? unknownStartId : self.incarnation, isStandby: this.#isStandby || this.#isLeaving,
			},
			...members.flatMap(({name, zone, startId = unknownStartId}) => zone === undefined
				? []
				: {
					name, cell: cells.of(zone), startId, isStandby: this.#standbyIncarnations.has(startId),
				}),
		]
			.filter(({startId}) => !this.#leavingIncarnations.has(startId))
			.toSorted((a, b) => a.startId === b.startId ? a.name.localeCompare(b.name) : (a.startId < b.startId ? -1 : 1));
		const starts = byAge.toSorted((a, b) => Number(a.isStandby) - Number(b.isStandby));
		const others = new Map<string, string[]>();
		for (const {name, cell} of starts) {
			if (cell !== key) {
				others.set(cell, [...others.get(cell) ?? [], name]);
			}
		}

		const ownNames = (order: readonly OrderedMember[]) => order.filter(({cell}) => cell === key).map(({name}) => name);
		return {
			cells, key, names: ownNames(starts), namesByAge: ownNames(byAge), others,
		};
	}
}
