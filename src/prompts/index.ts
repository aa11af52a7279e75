export {PromptExchange, type PromptMesh, type PromptMessage} from './prompt-exchange.js';
export {divideEngines, type DividedEngines, type RankedEngine} from './engine-sides.js';
export {EngineSpeeds, type FirstEventTime, type SpeedObservation} from './engine-speeds.js';
export {pickNearlyBest} from './pick-nearly-best.js';
export {
	PromptLoads, type EngineOutlook, type EngineSide, type PromptLoadListener, type PromptLoadsOptions, type PromptSize, type PromptTicket, type StartedPrompt,
} from './prompt-loads.js';
export {PromptMetrics, type ReadPromptTotals} from './prompt-metrics.js';
export {PromptMix, type LengthRow, type PromptSplit} from './prompt-mix.js';
export {
	PromptWork, type EngineKey, type PromptEntry, type ReportedWork, type SentPrompt, type WorkRow, type WorkSource, type WorkSum,
} from './prompt-work.js';
