export {isRetryable} from './is-retryable.js';
export {pickService} from './pick-service.js';
export type {
	CallerLimits, ColdStart, RelayDeclarations, RequestKind, Route, RouteStage, ServiceDeclaration, StagePoolLimits, TeamDeclaration, WeightedService,
} from './relay-declarations.js';
export {RouteTable} from './route-table.js';
