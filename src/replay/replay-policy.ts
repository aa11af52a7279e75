import type {Clock} from '../clock/index.js';
import type {ConfigView} from '../config/index.js';
import type {Random} from '../random/index.js';
import type {PrefixIndex} from '../routing/index.js';
import type {DeclaredTargets} from '../targets/index.js';
import type {Scheduler, TeamWork, ZoneView} from '../teams/index.js';

/** Dependencies of a policy at one entry VM of a replay. */
export interface PolicyContext {
	readonly clock: Clock;
	readonly config: ConfigView;
	readonly targets: DeclaredTargets;
	/** Name of the entry VM. */
	readonly process: string;
	readonly zone: string;
	readonly zoneView: ZoneView;
	readonly random: Random;
}

/** Instance of a policy at one entry VM. */
export interface ReplayScheduler {
	readonly scheduler: Scheduler;
	/** Work that the digests to the other entry VMs of the zone report. */
	readonly localWork?: () => readonly TeamWork[];
	/** Prefix index to update from the cache events of the engines. */
	readonly prefixIndex?: PrefixIndex;
}

/** A scheduling policy that a replay can run. */
export interface ReplayPolicy {
	readonly name: string;
	/** Creates the instance of one entry VM. */
	create(context: PolicyContext): ReplayScheduler;
}
