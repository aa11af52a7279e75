export {errorMessage} from './error-message.js';
export {ErrorTolerance, type ErrorToleranceOptions, type RequestProgress} from './error-tolerance.js';
export {formatFinding, type Finding} from './finding.js';
export {FindingsError} from './findings-error.js';
export {GuavamillError} from './guavamill-error.js';
export {zodFindings} from './zod-findings.js';
export {UnhandledErrors, type UnhandledErrorsOptions} from './unhandled-errors.js';
