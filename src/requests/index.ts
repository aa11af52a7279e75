export {callerRequestSchema, type CallerRequest} from './caller-request.js';
export {nullRequestForwarder, type RequestForwarder} from './request-forwarder.js';
export type {ChunkSink} from './request-context.js';
export {RequestLifecycle, type RequestEvent, type RequestState} from './request-lifecycle.js';
export {RequestRunner, type RequestOptions, type RequestRunnerDependencies} from './request-runner.js';
export {
	isRejection, rejectionReasons, httpStatus,
	type Answer, type AnswerNotHeld, type Rejection, type RejectionOutcome, type RejectionReason, type RequestResult, type StageReport,
} from './result.js';
export {StreamAssembler, type AttemptId} from './stream-assembler.js';
