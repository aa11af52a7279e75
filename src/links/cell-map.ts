/** Up to this many members, the whole fleet is one cell. */
const maxFleetCell = 24;
/** Up to this many members, a region is one cell. Above it, each of its zones is a cell. */
const maxRegionCell = 48;

/** Options of {@link CellMap}. */
export interface CellMapOptions {
	/** Zone of each member, this entry VM included. */
	readonly zones: Iterable<string>;
	readonly regionOf: (zone: string) => string | undefined;
}

/**
 * Divides the zones of a fleet into cells. The members of a cell share one leader, so a cell is the widest of fleet,
 * region and zone whose number of members one leader can serve. Entry VMs with the same list of members agree on it.
 *
 * @example
 * CellMap.create({zones: members.map(member => member.zone), regionOf}).of('riga-a'); // 'region riga'
 */
export class CellMap {
	static create(options: CellMapOptions): CellMap {
		return new CellMap(options);
	}

	readonly #regionSizes = new Map<string, number>();
	readonly #size: number;

	private constructor(private readonly options: CellMapOptions) {
		const zones = [...options.zones];
		this.#size = zones.length;
		for (const zone of zones) {
			const region = this.#regionOf(zone);
			this.#regionSizes.set(region, (this.#regionSizes.get(region) ?? 0) + 1);
		}
	}

	/** Returns the key of the cell of a zone. */
	of(zone: string): string {
		if (this.#size <= maxFleetCell) {
			return 'fleet';
		}

		const region = this.#regionOf(zone);
		return (this.#regionSizes.get(region) ?? 0) <= maxRegionCell ? `region ${region}` : `zone ${zone}`;
	}

	#regionOf(zone: string): string {
		return this.options.regionOf(zone) ?? zone;
	}
}
