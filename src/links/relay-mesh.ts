import type {Registry} from 'prom-client';
import type {Clock, Ms} from '../clock/index.js';
import type {EventRecorder} from '../events/index.js';
import type {ListenAddress} from '../http/index.js';
import type {PartLogger} from '../logs/index.js';
import type {Random} from '../random/index.js';
import type {VmList} from '../vms/index.js';
import {dialLink} from './dial-link.js';
import {LinkBytes, type LinkDistance} from './link-bytes.js';
import type {LinkIdentity} from './link-identity.js';
import type {LinkKey} from './link-key.js';
import {LinkListener} from './link-listener.js';
import type {LinkMessage} from './link-message.js';
import type {Link} from './link.js';
import {Membership} from './membership.js';
import {PeerLinks} from './peer-links.js';
import {rankByRendezvous} from './rendezvous.js';
import {VmListFollower} from './vm-list-follower.js';

/** Entry VMs that are kept linked for each key, best first; the second takes over when the first is lost. */
const candidatesPerKey = 2;

/** Settings and ports of the mesh. */
export interface RelayMeshOptions {
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
	readonly onMessage: (link: Link, message: LinkMessage) => void;
	readonly onLost: (link: Link) => void;
}

/**
 * Links of a relaying entry VM to the few others that it shares work with: for each key, the highest-ranked members.
 *
 * @example
 * const owner = mesh.owner('pool archive');
 */
export class RelayMesh {
	/** Starts listening and dialling. Throws when the address cannot be bound. */
	static async create(options: RelayMeshOptions): Promise<RelayMesh> {
		const mesh = new RelayMesh(options);
		mesh.#listener = await LinkListener.create({listen: options.listen, accept: socket => mesh.#links.accept(socket)});
		mesh.#links.start();
		mesh.#vmList.start();
		return mesh;
	}

	readonly #membership: Membership;
	readonly #links: PeerLinks;
	readonly #vmList: VmListFollower;
	readonly #keys = new Set<string>();
	readonly #ranks = new Map<string, {members: string; rank: readonly string[]}>();
	#listener: LinkListener | undefined;

	private constructor(private readonly options: RelayMeshOptions) {
		const {self, events, clock, random, vmList, logger, intervals} = options;
		this.#membership = Membership.create({self, peers: [], events});
		this.#links = PeerLinks.create({
			...options,
			membership: this.#membership,
			bytes: LinkBytes.create(options.registry),
			connect: address => dialLink(address),
			needs: name => this.#needs(name),
			onUp: () => undefined,
			onMessage(link, message) {
				options.onMessage(link, message);
			},
			onClosed(link) {
				options.onLost(link);
			},
			onDropped: () => undefined,
		});
		this.#vmList = VmListFollower.create({
			clock,
			random,
			vmList,
			logger,
			intervals,
			onList: snapshot => {
				this.#membership.applyList(snapshot);
			},
		});
	}

	/** Members that are not gone, this entry VM included. */
	get size(): number {
		return this.#membership.members().length + 1;
	}

	/** Members with a link, this entry VM included, as a part of all. */
	get linkedShare(): number {
		const members = this.#membership.members();
		return (members.filter(member => this.#links.byName(member.name)).length + 1) / (members.length + 1);
	}

	/** Declares keys whose owners should stay linked. */
	setKeys(keys: Iterable<string>): void {
		this.#keys.clear();
		for (const key of keys) {
			this.#keys.add(key);
		}
	}

	/** Returns the link to the owner of a key, or `undefined` where this entry VM owns it as far as it can tell. */
	owner(key: string): Link | undefined {
		for (const name of this.#rank(key)) {
			if (name === this.options.self.name) {
				return undefined;
			}

			const link = this.#links.byName(name);
			if (link) {
				return link;
			}
		}

		return undefined;
	}

	/** Closes every link. */
	async close(): Promise<void> {
		this.#vmList.stop();
		this.#links.close();
		await this.#listener?.close();
	}

	#needs(name: string): boolean {
		return [...this.#keys].some(key => {
			const rank = this.#rank(key);
			return rank.slice(0, candidatesPerKey).includes(name);
		});
	}

	#rank(key: string): readonly string[] {
		const names = [...this.#membership.members().map(member => member.name), this.options.self.name].sort();
		const members = names.join(' ');
		let known = this.#ranks.get(key);
		if (known?.members !== members) {
			known = {members, rank: rankByRendezvous(key, names)};
			this.#ranks.set(key, known);
		}

		return known.rank;
	}
}
