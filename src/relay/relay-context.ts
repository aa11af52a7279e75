import type {ServicePace} from '../admission/index.js';
import type {Clock, Ms} from '../clock/index.js';
import type {
	BrittleTargets, ColdTargets, TargetHolds, TargetLimits,
} from '../limits/index.js';
import type {PartLogger} from '../logging/index.js';
import type {Placement} from '../placement/index.js';
import type {RequestRetry, ServiceRetryBudget, StageRunner} from '../pools/index.js';
import type {PromptLoads} from '../prompts/index.js';
import type {PromptQuarantine} from '../quarantine/index.js';
import type {Random} from '../random/index.js';
import type {ReachWatch} from '../reach/index.js';
import type {ResultRetention} from '../retention/index.js';
import type {DrainingReports, RelayTarget, TargetRegistry} from '../registry/index.js';
import type {CrashWatch} from './crash-watch.js';
import type {EndCheck} from './end-check.js';
import type {ZoneDistance} from './choose-target.js';
import type {PrefixCacheTracker} from './prefix-cache-tracker.js';
import type {RelayCodec} from './relay-codec.js';
import type {RelayMetrics} from './relay-metrics.js';
import type {RouteDurations} from './route-durations.js';
import type {ShutdownSchedule} from './shutdown-schedule.js';
import type {ProbeResult} from './target-attempt.js';
import type {RequestMemory} from './request-memory.js';
import type {ResponseMemory} from './response-memory.js';
import type {TargetLiveness} from './target-liveness.js';
import type {TargetPools} from './target-pools.js';
import type {TurnBudget} from './turn-budget.js';

/** Shared services of the process that request handlers depend on. */
export interface RelayContext {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: PartLogger;
	readonly metrics: RelayMetrics;
	readonly codec: RelayCodec;
	readonly registry: TargetRegistry;
	/** Decides which targets may take a request. */
	readonly placement: Placement;
	readonly pools: TargetPools;
	/** Connections to other entry VMs, whose responses say nothing of targets. */
	readonly peerPools: TargetPools;
	/** Times at which targets are known to have been running. */
	readonly liveness: Pick<TargetLiveness, 'begin' | 'latestMs'>;
	/** Memory of the responses that the process holds. */
	readonly memory: ResponseMemory;
	/** Memory of the requests that the process holds. */
	readonly requestMemory: RequestMemory;
	readonly turnBudget: TurnBudget;
	readonly stages: StageRunner;
	/** Decides whether stage results are retained for interrupted streams. */
	readonly retention: ResultRetention;
	readonly prefixCache: PrefixCacheTracker;
	/** Prompt work at model engines. */
	readonly prompts: PromptLoads;
	readonly zone: string;
	readonly distance: (zone: string) => ZoneDistance;
	/** Ranks names for a key, identically on every entry VM. */
	readonly rank: (key: string, names: readonly string[]) => readonly string[];
	/** Returns the retry budget of a service. */
	readonly retryBudget: (service: string) => ServiceRetryBudget;
	/** Returns the retry that a request at a service reserves for its next attempt. */
	readonly createRetry: (service: string) => RequestRetry;
	/** Resolves with how the target responds on a separate connection. */
	readonly probe: (target: RelayTarget) => Promise<ProbeResult>;
	/** Makes sure of the ends of responses that are not declared. */
	readonly endCheck: Pick<EndCheck, 'isConfirmed'>;
	readonly crashWatch: CrashWatch;
	readonly limits: TargetLimits;
	/** Targets that crash if they have to reject too many requests. */
	readonly brittle: Pick<BrittleTargets, 'observe' | 'isBrittle' | 'isDenied' | 'reserve'>;
	/** Targets that have asked for no requests for a time. */
	readonly holds: Pick<TargetHolds, 'observe' | 'hasAny' | 'isHeld' | 'free' | 'returnMs'>;
	readonly coldTargets: Pick<ColdTargets, 'isCold' | 'isDenied' | 'deniedUntilMs' | 'reserve' | 'recordFailed' | 'recordReached'>;
	readonly quarantine: Pick<PromptQuarantine, 'hasSuspicions' | 'causeOf' | 'watch' | 'answered' | 'crashed'>;
	readonly drainingReports: Pick<DrainingReports, 'observe'>;
	/** Whether targets can be reached from here, and the entry VMs that requests are left to if not. */
	readonly reach: Pick<ReachWatch<RelayTarget>, 'isCutOff' | 'confirmCutOff' | 'helperWhere' | 'recordReached' | 'recordFailed'>;
	/** Age of the target data: time since the last successful read of the targets from the store. */
	readonly targetsAgeMs: () => Ms;
	/** Recent durations by route: of requests from arrival to the end of their answer, and of attempts at targets that gave it. */
	readonly durations: {readonly requests: RouteDurations; readonly attempts: RouteDurations};
	/** Pace at which the targets of each service answer, from which refused requests get their time of return. */
	readonly servicePace: ServicePace;
	/** Schedule of the shutdown in progress; `undefined` before SIGTERM. */
	readonly shutdown: () => ShutdownSchedule | undefined;
	/** True while responses tell callers to close their connections. */
	readonly isClosing: () => boolean;
}
