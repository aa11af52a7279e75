export {callerRequestSchema, type CallerRequest} from './caller-request.js';
export {nullKeyForwarder, type KeyForwarder} from './key-forwarder.js';
export type {ChunkSink} from './request-context.js';
export {RequestLifecycle, type RequestEvent, type RequestState} from './request-lifecycle.js';
export {RequestRunner, type RequestOptions, type RequestRunnerParts} from './request-runner.js';
export {
	isRejection, rejectionReasons, statusOf,
	type Answer, type AnswerNotHeld, type Rejection, type RejectionOutcome, type RejectionReason, type RequestResult, type StageReport,
} from './result.js';
export {StreamAssembler, type AttemptId} from './stream-assembler.js';
