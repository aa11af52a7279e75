export {CostRouter} from './cost-router.js';
export {LeastInFlightRouter} from './least-in-flight-router.js';
export {PrefixAffinityRouter} from './prefix-affinity-router.js';
export {PrefixIndex} from './prefix-index.js';
export {PrefixNames, estimateTokens, type Prefix} from './prefix-names.js';
export {RoundRobinRouter} from './round-robin-router.js';
export type {RouteCandidate, Router, RouteRequest} from './router.js';
export {estimateService, type ServiceEstimate} from './service-estimate.js';
export {TargetSpeed} from './target-speed.js';
