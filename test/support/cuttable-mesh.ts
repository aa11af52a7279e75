import type {Clock, Ms} from '../../src/clock/index.js';
import type {Link, LinkMessage, RelayMesh} from '../../src/links/index.js';
import type {Random} from '../../src/random/index.js';

/** Time of a message within a cell and between cells. */
const latencyMs = {cell: 1, region: 20};
/** Time until an end of a cut link notices, which differs between the two ends. */
const detectionMs = {min: 600, max: 1500};

/** Operations of a mesh that permits for cold targets use. */
export type CuttableMeshOperations = Pick<RelayMesh, 'leader' | 'links' | 'isInCell' | 'cellSize' | 'coordinatorOf' | 'broadcast' | 'broadcastToLeaders'>;

/** Options of {@link CuttableMesh}. */
export interface CuttableMeshOptions {
	readonly size: number;
	readonly cellSize: number;
	readonly clock: Clock;
	readonly random: Random;
	readonly deliver: (vm: number, link: Link, message: LinkMessage) => void;
	readonly onLost: (vm: number, link: Link) => void;
}

/**
 * Links between all entry VMs, any of which can be cut, and lists of entry VMs that can differ. Members succeed each other
 * in the order of their numbers; an end of a cut link uses it until it has noticed.
 *
 * @example
 * const mesh = CuttableMesh.create({size: 60, cellSize: 20, clock, random, deliver, onLost});
 * mesh.cut(0, 1);
 */
export class CuttableMesh {
	static create(options: CuttableMeshOptions): CuttableMesh {
		return new CuttableMesh(options);
	}

	readonly #links = new Map<string, Link>();
	readonly #cut = new Set<string>();
	/** Cut links that the first end has noticed, as `FIRST OTHER`. */
	readonly #down = new Set<string>();
	/** Entry VMs that are not in the list of an entry VM. */
	readonly #unlisted = new Map<number, ReadonlySet<number>>();

	private constructor(private readonly options: CuttableMeshOptions) {}

	/** Returns the zone of an entry VM, which is its cell. */
	zoneOf(vm: number): string {
		return `zone-${Math.floor(vm / this.options.cellSize)}`;
	}

	/** Cuts the link between two entry VMs. */
	cut(a: number, b: number): void {
		for (const [from, to] of [[a, b], [b, a]] as const) {
			const key = `${from} ${to}`;
			this.#cut.add(key);
			this.options.clock.after(detectionMs.min + (this.options.random.float() * (detectionMs.max - detectionMs.min)), () => {
				if (this.#cut.has(key)) {
					this.#down.add(key);
					this.options.onLost(from, this.link(from, to));
				}
			});
		}
	}

	/** Cuts all links of an entry VM. */
	cutOff(vm: number): void {
		for (const other of this.#others(vm)) {
			this.cut(vm, other);
		}
	}

	/** Restores all links. */
	heal(): void {
		this.#cut.clear();
		this.#down.clear();
	}

	/** Takes entry VMs out of the list that an entry VM has. */
	unlist(vm: number, others: Iterable<number>): void {
		this.#unlisted.set(vm, new Set(others));
	}

	/** Returns the mesh as an entry VM sees it. */
	at(vm: number): CuttableMeshOperations {
		const listed = () => Array.from({length: this.options.size}, (_, other) => other).filter(other => other === vm || this.#unlisted.get(vm)?.has(other) !== true);
		const zone = this.zoneOf(vm);
		const cell = () => listed().filter(other => this.zoneOf(other) === zone);
		const isUp = (other: number) => !this.#down.has(`${vm} ${other}`);
		const links = () => this.#others(vm).filter(other => isUp(other)).map(other => this.link(vm, other));
		const leader = () => {
			const first = cell().find(other => other === vm || isUp(other))!;
			return first === vm ? undefined : this.link(vm, first);
		};

		const send = (message: LinkMessage, isWanted: (link: Link) => boolean) => {
			for (const link of links().filter(link => isWanted(link))) {
				link.send(message);
			}
		};

		return {
			leader,
			links,
			isInCell: other => other === zone,
			get cellSize() {
				return cell().length;
			},
			coordinatorOf: target => {
				const zones = new Set(listed().map(other => this.zoneOf(other)));
				const coordinating = zones.has(target) ? target : [...zones].toSorted()[0]!;
				const first = listed().find(other => this.zoneOf(other) === coordinating && isUp(other));
				return leader() ?? (coordinating === zone ? 'self' : (first === undefined ? undefined : this.link(vm, first)));
			},
			broadcast(message) {
				send(message, link => link.peer.zone === zone);
			},
			broadcastToLeaders(message) {
				send(message, link => link.peer.zone !== zone);
			},
		};
	}

	#others(vm: number): readonly number[] {
		return Array.from({length: this.options.size}, (_, other) => other).filter(other => other !== vm);
	}

	/** Returns the link from one entry VM to another one, always the same one. */
	link(from: number, to: number): Link {
		const key = `${from} ${to}`;
		const link = this.#links.get(key) ?? this.#createLink(from, to);
		this.#links.set(key, link);
		return link;
	}

	#createLink(from: number, to: number): Link {
		const {clock, deliver} = this.options;
		const delayMs: Ms = this.zoneOf(from) === this.zoneOf(to) ? latencyMs.cell : latencyMs.region;
		const send = (message: LinkMessage) => {
			clock.after(delayMs, () => {
				if (!this.#cut.has(`${from} ${to}`)) {
					deliver(to, this.link(to, from), message);
				}
			});
			return true;
		};

		return {peer: {name: `vm-${to}`, zone: this.zoneOf(to), incarnation: `i-${to}`}, send} as unknown as Link;
	}
}
