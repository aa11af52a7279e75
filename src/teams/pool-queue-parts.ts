import type {Clock, Ms} from '../clock/index.js';
import type {EventRecorder} from '../events/index.js';
import type {Prefix, PrefixIndex, Router} from '../routing/index.js';
import type {TargetRegistry} from '../targets/index.js';
import type {PoolTargets} from './pool-targets.js';
import type {RetryBudget} from './retry-budget.js';
import type {StageWork} from './scheduler.js';
import type {ServiceTimes} from './service-times.js';

/** An attempt with its estimates. */
export interface Candidacy {
	readonly work: StageWork;
	readonly weight: number;
	readonly prefixes: readonly Prefix[];
	/** Estimated service time before a target is chosen. */
	readonly serviceMs: Ms;
	/** Least time that the later stages need. */
	readonly laterMs: Ms;
}

/** Parts that the queues of all pools share. */
export interface PoolQueueParts {
	readonly clock: Clock;
	readonly registry: TargetRegistry;
	readonly zone: string;
	readonly targets: PoolTargets;
	readonly router: Router;
	readonly index: PrefixIndex;
	readonly times: ServiceTimes;
	readonly retries: RetryBudget;
	/** Other entry VMs with work in a pool, as of their latest digests. */
	readonly contenders: (pool: string) => number;
	/** Brings what is known of other entry VMs up to date. */
	readonly refresh: () => void;
	readonly events?: EventRecorder;
}
