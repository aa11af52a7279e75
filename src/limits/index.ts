export {TargetLimits, type TargetLimitsOptions} from './target-limits.js';
