export {
	DeclaredTargets, httpPortFactory, type TargetDrainingListener, type PortFactory,
} from './declared-targets.js';
export type {
	CacheEvent, Chunk, EngineOrder, EnginePort, EngineState, GenerateCall, OrderResult, PromptSegment, ShareClass, TargetHealth, TargetLoad,
} from './engine-port.js';
export {targetHeaders} from './header-names.js';
export {HttpEngine} from './http-engine.js';
export {HttpService} from './http-service.js';
export type {ServiceCall, ServicePort, ServiceReply} from './service-port.js';
export type {
	Target, TargetRegistry, TargetState, TargetView,
} from './target.js';
export {TargetProber, type TargetProberOptions} from './target-prober.js';
export {VmWatcher, type VmWatcherOptions} from './vm-watcher.js';
export {TargetError, type TargetFailure} from './target-error.js';
