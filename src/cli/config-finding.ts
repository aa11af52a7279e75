/** What a finding is about: a value that is rejected, an entry that has no effect, limits that contradict each other, or a difference from another version. */
export type ConfigFindingKind = 'invalid' | 'ineffective' | 'contradiction' | 'difference';

/** A finding in a configuration record. An error keeps the record from taking effect. */
export interface ConfigFinding {
	readonly severity: 'error' | 'warning';
	readonly kind: ConfigFindingKind;
	/** Keys and indexes from the top, such as `['routes', 2, 'stages']`. */
	readonly path: ReadonlyArray<string | number>;
	/** Path of the entry whose line is named, if it is another one: what was removed has none. */
	readonly linePath?: ReadonlyArray<string | number>;
	readonly message: string;
}

/** A finding as it is printed: with the path as text, such as `routes[2].stages[0].service`, and a line that starts at 1. */
export interface LocatedConfigFinding extends Omit<ConfigFinding, 'path' | 'linePath'> {
	readonly path: string;
	readonly line: number;
}
