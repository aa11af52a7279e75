export {chooseEngine, type ChooseEngineOptions, type EngineChoice} from './choose-engine.js';
export {chooseTarget, type ChooseTargetOptions, type ZoneDistance} from './choose-target.js';
export {createCloseAwareConnector} from './close-aware-connector.js';
export {
	CrashWatch, type BrokenAttempt, type BrokenProgress, type TargetCrash,
} from './crash-watch.js';
export {EndCheck, type EndCheckOptions, type TargetReply} from './end-check.js';
export {EventSplitter, type ServerSentEvent} from './event-splitter.js';
export {
	decideRetry, type AttemptFailure, type FailedAttemptState, type RetryDecision, type RetryDenial,
} from './decide-retry.js';
export {PrefixCacheTracker} from './prefix-cache-tracker.js';
export type {Rejection, RejectionReason} from './rejection.js';
export type {
	CallerHead, HttpHeaders, Prompt, PromptPart, RelayCodec, TargetCall, TargetHead,
} from './relay-codec.js';
export {RelayMetrics} from './relay-metrics.js';
export type {RelayContext} from './relay-context.js';
export {RelayServer, type RelayServerOptions} from './relay-server.js';
export type {ProbeResult} from './target-attempt.js';
export {requestWhole, type WholeResponse} from './request-whole.js';
export {RequestMemory} from './request-memory.js';
export {ResponseMemory} from './response-memory.js';
export {RouteDurations, type DurationEstimate} from './route-durations.js';
export {ShutdownSchedule, type ScheduledRequest} from './shutdown-schedule.js';
export {TargetLiveness} from './target-liveness.js';
export {TargetPools} from './target-pools.js';
export {TurnBudget} from './turn-budget.js';
