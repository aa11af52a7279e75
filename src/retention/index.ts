export {RequestResults, type RequestResultsOptions} from './request-results.js';
export {ResultRetention, type ResultRetentionOptions, type ResultUse} from './result-retention.js';
