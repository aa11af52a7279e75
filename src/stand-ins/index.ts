export {EngineStandIn, type EngineStandInOptions} from './engine-stand-in.js';
export {LogStandIn} from './log-stand-in.js';
export {PlatformStandIn} from './platform-stand-in.js';
export {ServiceStandIn, type ServiceStandInOptions} from './service-stand-in.js';
export {
	expectedAnswer, standInOutput, standInPromptHash, standInToken,
} from './stand-in-text.js';
export {noTargetFaults, targetFaultsSchema, type TargetFaults} from './target-faults.js';
