import type {Clock} from '../../src/clock/index.js';
import type {Link, LinkMessage, RelayMesh} from '../../src/links/index.js';

/** Number of entry VMs in a cell by default, and the time that a message takes. */
const defaultCellSize = 25;
const latencyMs = 20;

/** Operations of a mesh that news and requests between entry VMs use. */
export type MeshOperations = Pick<RelayMesh, 'leader' | 'isInCell' | 'broadcast' | 'broadcastToLeaders' | 'coordinatorOf' | 'links'>;

/** Options of {@link SimulatedMesh}. */
export interface SimulatedMeshOptions {
	readonly size: number;
	/** Number of entry VMs in a cell; 25 by default. */
	readonly cellSize?: number;
	readonly clock: Clock;
	/** Handles a message that has arrived at an entry VM; `link` leads back to the sender. */
	readonly deliver: (vm: number, link: Link, message: LinkMessage) => void;
}

/**
 * Links between entry VMs without a network. They are divided into cells of one zone each; members are linked to the
 * first of their cell, its leader, and leaders to each other.
 *
 * @example
 * const mesh = SimulatedMesh.create({size: 200, clock, deliver});
 * mesh.at(7).leader()?.send(message);
 */
export class SimulatedMesh {
	static create(options: SimulatedMeshOptions): SimulatedMesh {
		return new SimulatedMesh(options);
	}

	/** Number of messages sent. */
	messages = 0;
	/** Entry VMs from and to which messages are lost. */
	readonly cutOff = new Set<number>();
	/** Entry VMs that are known to be lost, so that the next of their cells lead. */
	readonly lost = new Set<number>();
	readonly #links = new Map<string, Link>();
	readonly #cellSize: number;

	private constructor(private readonly options: SimulatedMeshOptions) {
		this.#cellSize = options.cellSize ?? defaultCellSize;
	}

	/** Returns the zone of an entry VM, which is its cell. */
	zoneOf(vm: number): string {
		return `zone-${Math.floor(vm / this.#cellSize)}`;
	}

	/** Returns the link from one entry VM to another one, always the same one, since replies are accepted only on the link of their request. */
	link(from: number, to: number): Link {
		const key = `${from} ${to}`;
		const link = this.#links.get(key) ?? this.#createLink(from, to);
		this.#links.set(key, link);
		return link;
	}

	/** Returns the mesh as an entry VM sees it. */
	at(vm: number): MeshOperations {
		const sendAll = (message: LinkMessage, isWanted: (other: number) => boolean) => {
			for (let other = 0; other < this.options.size; other++) {
				if (other !== vm && isWanted(other)) {
					this.link(vm, other).send(message);
				}
			}
		};

		const leaderOf = (member: number) => this.#leaderOf(member);
		const leader = () => leaderOf(vm) === vm ? undefined : this.link(vm, leaderOf(vm));
		return {
			leader,
			isInCell: zone => zone === this.zoneOf(vm),
			broadcast(message) {
				sendAll(message, other => leaderOf(other) === leaderOf(vm));
			},
			broadcastToLeaders(message) {
				sendAll(message, other => leaderOf(other) === other);
			},
			links: () => Array.from({length: this.options.size}, (_, other) => other)
				.filter(other => other !== vm && !this.lost.has(other) && (leaderOf(vm) === vm ? (leaderOf(other) === vm || leaderOf(other) === other) : leaderOf(vm) === other))
				.map(other => this.link(vm, other)),
			coordinatorOf: zone => {
				const first = Array.from({length: this.options.size}, (_, member) => member).find(member => this.zoneOf(member) === zone) ?? 0;
				return leader() ?? (first === vm ? 'self' : this.link(vm, first));
			},
		};
	}

	#leaderOf(member: number): number {
		let leader = member - (member % this.#cellSize);
		while (this.lost.has(leader)) {
			leader++;
		}

		return leader;
	}

	#createLink(from: number, to: number): Link {
		const send = (message: LinkMessage) => {
			this.messages++;
			this.options.clock.after(latencyMs, () => {
				if (!this.cutOff.has(from) && !this.cutOff.has(to)) {
					this.options.deliver(to, this.link(to, from), message);
				}
			});
			return true;
		};

		return {peer: {name: `vm-${to}`, zone: this.zoneOf(to)}, send} as unknown as Link;
	}
}
