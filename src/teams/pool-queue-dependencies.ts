import type {Clock, Ms} from '../clock/index.js';
import type {EventRecorder} from '../events/index.js';
import type {Prefix, PrefixIndex, Router} from '../routing/index.js';
import type {TargetRegistry} from '../targets/index.js';
import type {PoolTargets} from './pool-targets.js';
import type {RetryBudget} from './retry-budget.js';
import type {StageWork} from './scheduler.js';
import type {ServiceTimes} from './service-times.js';

/** An attempt to be queued, with its estimates. */
export interface PendingAttempt {
	readonly work: StageWork;
	readonly weight: number;
	readonly prefixes: readonly Prefix[];
	/** Estimated service time, independent of the target. */
	readonly serviceMs: Ms;
	/** Minimum time that the later stages need. */
	readonly laterStagesMs: Ms;
}

/** Dependencies shared by the queues of all pools. */
export interface PoolQueueDependencies {
	readonly clock: Clock;
	readonly registry: TargetRegistry;
	readonly zone: string;
	readonly targets: PoolTargets;
	readonly router: Router;
	readonly prefixIndex: PrefixIndex;
	readonly serviceTimes: ServiceTimes;
	readonly retryBudget: RetryBudget;
	/** Number of other entry VMs with work in a pool according to their latest digests. */
	readonly activePeers: (pool: string) => number;
	/** Applies new digests of other entry VMs. */
	readonly refreshZoneLoad: () => void;
	readonly events?: EventRecorder;
}
