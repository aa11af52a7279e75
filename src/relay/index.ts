export {chooseEngine, type ChooseEngineOptions} from './choose-engine.js';
export {chooseTarget, type ChooseTargetOptions, type ZoneDistance} from './choose-target.js';
export {EventSplitter, type WholeEvent} from './event-splitter.js';
export {
	nextStep, type FailedAttempt, type FailedState, type NextStep,
} from './next-step.js';
export {PromptMemory} from './prompt-memory.js';
export type {Rejection, RelayReason} from './rejection.js';
export type {
	CallerHead, HttpHeaders, Prompt, PromptPart, RelayCodec, TargetCall, TargetHead,
} from './relay-codec.js';
export {RelayMetrics} from './relay-metrics.js';
export type {RelayParts} from './relay-parts.js';
export {RelayServer, type RelayServerOptions} from './relay-server.js';
export {TargetPools} from './target-pools.js';
