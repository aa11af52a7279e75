import type {Ms} from '../clock/index.js';
import type {Pipeline, Stage} from '../config/index.js';
import type {PromptSegment} from '../targets/index.js';
import type {CallerRequest} from './caller-request.js';
import type {RequestLifecycle} from './request-lifecycle.js';

/** Receives the chunks of the last stage in batches as they arrive. */
export type ChunkSink = (texts: readonly string[], firstIndex: number) => void;

/** State of one request in progress. @internal */
export interface RequestContext {
	readonly requestId: string;
	readonly pipeline: Pipeline;
	readonly body: CallerRequest;
	readonly prompt: readonly PromptSegment[];
	/** Absolute deadline in monotonic time. */
	readonly deadlineMs: Ms;
	readonly lifecycle: RequestLifecycle;
	/** Aborts when the deadline passes or, unless the request requires a claim, when the caller disconnects. */
	readonly signal: AbortSignal;
	/** Aborts when the deadline passes. */
	readonly deadlineSignal: AbortSignal;
	readonly sink: ChunkSink;
}

/** Whether a stage of this request must run at most once. @internal */
export function isNonIdempotent(context: Pick<RequestContext, 'body'>, stage: Stage): boolean {
	return context.body.non_idempotent || !stage.idempotent;
}

/** Whether a request has a stage that must run at most once. @internal */
export function hasNonIdempotentStage(body: CallerRequest, pipeline: Pipeline): boolean {
	return body.non_idempotent || pipeline.stages.some(stage => !stage.idempotent);
}

/**
 * Whether the outcome `not_run` is excluded once this stage was sent. In a request with non-idempotent stages only those
 * exclude it, because the others can safely run again; in any other request every stage does.
 *
 * @internal
 */
export function excludesNotRun(context: RequestContext, stage: Stage): boolean {
	return isNonIdempotent(context, stage) || !hasNonIdempotentStage(context.body, context.pipeline);
}
