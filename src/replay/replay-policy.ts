import type {Clock} from '../clock/index.js';
import type {ConfigView} from '../config/index.js';
import type {Random} from '../random/index.js';
import type {PrefixIndex} from '../routing/index.js';
import type {DeclaredTargets} from '../targets/index.js';
import type {Scheduler, TeamWork, ZoneView} from '../teams/index.js';

/** What a policy is built from at one entry VM of a replay. */
export interface PolicyParts {
	readonly clock: Clock;
	readonly config: ConfigView;
	readonly targets: DeclaredTargets;
	/** Name of the entry VM. */
	readonly process: string;
	readonly zone: string;
	readonly zoneView: ZoneView;
	readonly random: Random;
}

/** The policy of one entry VM. */
export interface ReplayScheduler {
	readonly scheduler: Scheduler;
	/** Work for the digest to the other entry VMs of the zone. */
	readonly work?: () => readonly TeamWork[];
	/** Index that the cache events of the engines correct. */
	readonly index?: PrefixIndex;
}

/** A named policy; `create` is called once for each entry VM. */
export interface ReplayPolicy {
	readonly name: string;
	create(parts: PolicyParts): ReplayScheduler;
}
