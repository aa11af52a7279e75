import type {Clock} from '../clock/index.js';
import {EventRing} from '../events/index.js';
import {RelayMesh, type Link, type LinkMessage} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import {Random} from '../random/index.js';
import type {RelayMetrics, ZoneDistance} from '../relay/index.js';
import type {RelayVmOptions} from './relay-vm-options.js';
import {SharedLinkKey} from './shared-link-key.js';
import {startInBackground} from './start-in-background.js';

/** Intervals between reads of the list of entry VMs, which is in memory and cheap to read. */
const vmListIntervals = {busyMs: 250, quietMs: 1000, quietAfterMs: 3000};
/** Capacity of the ring of link events; events of the relay are logged instead. */
const eventCapacity = 500;

/** Options of {@link MeshMember}. */
export interface MeshMemberOptions extends Pick<RelayVmOptions, 'self' | 'links' | 'vmList' | 'linkKeyStore' | 'regionOf' | 'seed'> {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly metrics: Pick<RelayMetrics, 'registry'>;
	readonly distance: (zone: string) => ZoneDistance;
	/** Whether the entry VM is on standby as a leader when its mesh starts. */
	readonly isOnStandby: () => boolean;
	/** Called with the number of entry VMs, and whether it is the current one. */
	readonly onSize: (size: number, isCurrent: boolean) => void;
	readonly onMessage: (link: Link, message: LinkMessage) => void;
	readonly onUp: (link: Link) => void;
	readonly onLost: (link: Link) => void;
}

/**
 * Membership of an entry VM in the mesh, which it joins once the link key is available and its port can be bound; until
 * then it has no links.
 *
 * @example
 * void member.start();
 */
export class MeshMember {
	static create(options: MeshMemberOptions): MeshMember {
		return new MeshMember(options);
	}

	readonly #closing = new AbortController();
	readonly #key: SharedLinkKey;
	#mesh: RelayMesh | undefined;
	#isLeaving = false;

	private constructor(private readonly options: MeshMemberOptions) {
		const {linkKeyStore: store, clock, logger, seed} = options;
		this.#key = SharedLinkKey.create({
			store, clock, logger, random: Random.create(seed + 3), isClosed: () => this.#closing.signal.aborted, onReplaced: key => {
				this.#mesh?.setKey(key);
			},
		});
	}

	/** The mesh; `undefined` until it has been joined. */
	get mesh(): RelayMesh | undefined {
		return this.#mesh;
	}

	/** Joins the mesh, with tries until that succeeds or this member is closed. */
	async start(): Promise<void> {
		const {clock, logger} = this.options;
		await startInBackground({
			clock, logger, message: 'Cannot start the mesh yet; running without links, and it is tried again.', signal: this.#closing.signal, act: async () => this.#join(),
		});
	}

	/** Stores the link key again, or takes over the one in the store, after the store has come back from an older copy. */
	async restoreKey(): Promise<void> {
		await this.#key.restore();
	}

	/** Leaves the mesh to the peers, also one that is joined later; existing links stay up. */
	leave(): void {
		this.#isLeaving = true;
		this.#mesh?.leave();
	}

	/** Ends the tries to join. The mesh itself is closed by `close`. */
	stop(): void {
		this.#closing.abort();
	}

	/** Closes all links. */
	async close(): Promise<void> {
		this.stop();
		await this.#mesh?.close();
	}

	async #join(): Promise<void> {
		const {self, links, clock, vmList, logger, seed, metrics, regionOf, isOnStandby, onSize, onMessage, onUp, onLost} = this.options;
		const mesh = await RelayMesh.create({
			self,
			key: await this.#key.get(),
			listen: links,
			clock,
			random: Random.create(seed + 1),
			vmList,
			intervals: vmListIntervals,
			registry: metrics.registry,
			logger,
			events: EventRing.create({process: self.name, clock, capacity: eventCapacity}),
			distanceTo: zone => {
				const distance = this.options.distance(zone);
				return distance === 'same_region' ? 'other_zone' : distance;
			},
			regionOf,
			onMessage,
			onSize,
			onUp,
			onLost,
		});
		this.#mesh = mesh;
		if (isOnStandby()) {
			mesh.setStandby(true);
		}

		// The shutdown may have begun while the port was in use.
		if (this.#closing.signal.aborted) {
			await mesh.close();
		} else if (this.#isLeaving) {
			mesh.leave();
		}
	}
}
