import {createHash, randomUUID} from 'node:crypto';
import {
	parseMintedKey, type BookingKey, type Claim, type ClaimService,
} from '../claims/index.js';
import type {Clock, Ms} from '../clock/index.js';
import type {ConfigView, Pipeline} from '../config/index.js';
import {errorMessage, zodFindings} from '../errors/index.js';
import type {EventRecorder} from '../events/index.js';
import type {PromptSegment} from '../targets/index.js';
import type {Scheduler} from '../teams/index.js';
import {callerRequestSchema, type CallerRequest} from './caller-request.js';
import {hasNonIdempotentStage, type ChunkSink, type RequestContext} from './request-context.js';
import type {KeyForwarder} from './key-forwarder.js';
import {RequestError} from './request-error.js';
import {RequestLifecycle} from './request-lifecycle.js';
import {
	type Answer, type Rejection, type RejectionReason, type RequestResult, type StageReport, isRejection,
} from './result.js';
import {StageRunner} from './stage-runner.js';

/** Parts that a runner works with. */
export interface RequestRunnerParts {
	readonly clock: Clock;
	readonly config: ConfigView;
	readonly scheduler: Scheduler;
	readonly claims: ClaimService;
	/** Own incarnation, and the way to the others for requests with keys that they minted. */
	readonly forwarding?: {readonly incarnation: string; readonly forwarder: KeyForwarder};
	readonly events: EventRecorder;
}

/** How a request arrives. */
export interface RequestOptions {
	readonly requestId?: string;
	/** Receives chunks of the last stage; the default drops them, since the answer holds the whole text. */
	readonly sink?: ChunkSink;
	/** Aborts when the caller leaves. */
	readonly signal?: AbortSignal;
	/** Told once the request was admitted. */
	readonly onAdmitted?: (requestId: string) => void;
}

/**
 * Runs requests from their arrival to a whole answer or a rejection.
 *
 * @example
 * const result = await runner.run('advice', {team: 'apprentices', input: {text: 'How do I bevel?'}});
 */
export class RequestRunner {
	static create(parts: RequestRunnerParts): RequestRunner {
		return new RequestRunner(parts, StageRunner.create(parts));
	}

	#inFlight = 0;
	#latestDeadlineMs: Ms = 0;

	private constructor(private readonly parts: RequestRunnerParts, private readonly stages: StageRunner) {}

	/** Requests in progress. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Latest deadline of any request so far, on the clock's monotonic time. */
	get latestDeadlineMs(): Ms {
		return this.#latestDeadlineMs;
	}

	/** Runs one request; never throws. `body` is the unchecked JSON. */
	async run(pipelineName: string, body: unknown, options: RequestOptions = {}): Promise<RequestResult> {
		const requestId = options.requestId ?? randomUUID();
		this.#inFlight++;
		try {
			return await this.#run(requestId, pipelineName, body, options);
		} catch (err) {
			// A fault of this program says nothing of what was sent.
			return this.#rejection(requestId, 'unknown', 'internal', `Cannot run the request: ${errorMessage(err)}`);
		} finally {
			this.#inFlight--;
		}
	}

	async #run(requestId: string, pipelineName: string, body: unknown, options: RequestOptions): Promise<RequestResult> {
		const parsed = callerRequestSchema.safeParse(body);
		if (!parsed.success) {
			const findings = zodFindings(parsed.error, 'body');
			return {...this.#rejection(requestId, 'not_run', 'bad_request', `Cannot read the request: ${findings.length} findings`), findings};
		}

		const config = this.parts.config.current();
		const pipeline = config.declarations.pipeline(pipelineName);
		if (config.revision < 0) {
			return this.#rejection(requestId, 'not_run', 'not_configured', 'Cannot run the request: no configuration was applied yet');
		}

		if (!pipeline) {
			return this.#rejection(requestId, 'not_run', 'unknown_pipeline', `Cannot run the request: pipeline ${pipelineName} is not declared`);
		}

		if (!config.declarations.team(parsed.data.team)) {
			return this.#rejection(requestId, 'not_run', 'unknown_team', `Cannot run the request: team ${parsed.data.team} is not declared`);
		}

		return this.#runChecked(requestId, pipeline, parsed.data, options);
	}

	async #runChecked(requestId: string, pipeline: Pipeline, body: CallerRequest, options: RequestOptions): Promise<RequestResult> {
		const {clock, events} = this.parts;
		const isKeyed = body.idempotency !== undefined && hasNonIdempotentStage(body, pipeline);
		const budgetMs = body.deadline_ms ?? pipeline.deadline_ms;
		this.#latestDeadlineMs = Math.max(this.#latestDeadlineMs, clock.now() + budgetMs);
		const ended = new AbortController();
		const deadline = new AbortController();
		const end = () => {
			ended.abort();
		};

		// A keyed request runs to its end even when its caller leaves, so that a retry finds its outcome.
		const onCallerLeft = () => {
			events.record({kind: 'caller_left', requestId, team: body.team});
			if (!isKeyed) {
				end();
			}
		};

		options.signal?.addEventListener('abort', onCallerLeft, {once: true});
		const cancelDeadline = clock.after(budgetMs, () => {
			deadline.abort();
			ended.abort();
		});
		try {
			return await this.#runAdmitted({
				requestId,
				pipeline,
				body,
				prompt: promptOf(body),
				deadlineMs: clock.now() + budgetMs,
				lifecycle: RequestLifecycle.create(),
				signal: ended.signal,
				deadlineSignal: deadline.signal,
				sink: options.sink ?? (() => undefined),
			}, {isKeyed, budgetMs, ...options.onAdmitted ? {onAdmitted: options.onAdmitted} : {}});
		} finally {
			cancelDeadline();
			options.signal?.removeEventListener('abort', onCallerLeft);
		}
	}

	async #runAdmitted(context: RequestContext, options: {isKeyed: boolean; budgetMs: Ms; onAdmitted?: (requestId: string) => void}): Promise<RequestResult> {
		const {scheduler, events} = this.parts;
		const {requestId, body, pipeline} = context;
		const {isKeyed, budgetMs} = options;
		events.record({
			kind: 'request_received', requestId, team: body.team, detail: pipeline.name,
		});
		const admission = scheduler.admit({
			requestId, team: body.team, pipeline, prompt: context.prompt, maxTokens: body.max_tokens, remainingMs: budgetMs,
		});
		// A keyed retry is looked up even under overload: an earlier try may have run.
		if (!admission.admitted && !isKeyed) {
			return this.#end(context, this.#rejection(requestId, 'not_run', admission.reason, `Cannot run the request: predicted ${Math.round(admission.predictedMs)} ms exceed the deadline of ${Math.round(budgetMs)} ms`));
		}

		options.onAdmitted?.(requestId);
		events.record({kind: 'request_admitted', requestId, team: body.team});
		const result = isKeyed ? await this.#runClaimed(context) : await this.#runStages(context);
		return this.#end(context, result);
	}

	async #runClaimed(context: RequestContext): Promise<RequestResult> {
		const {claims} = this.parts;
		const key = bookingKey(context);
		if (!key) {
			return this.#rejection(context.requestId, 'not_run', 'bad_request', 'Cannot run the request: idempotency.not_after_ms is missing');
		}

		const forwarded = await this.#forward(context);
		if (forwarded) {
			return forwarded;
		}

		const decision = await claims.acquire(key, context.deadlineMs);
		switch (decision.type) {
			case 'won': {
				const result = await this.#runStages(context);
				this.#settleClaim(decision.claim, result);
				return result;
			}

			case 'done': {
				return decision.answer === undefined
					? {
						request_id: context.requestId, outcome: 'done', answer: undefined, held: false,
					}
					: {...JSON.parse(decision.answer) as Answer, request_id: context.requestId};
			}

			case 'not_run':
			case 'unknown': {
				return this.#rejection(context.requestId, decision.type, decision.reason, claimMessage(decision.reason));
			}
		}
	}

	/** Runs a request whose key another incarnation minted there; `undefined` for every other request. */
	async #forward(context: RequestContext): Promise<RequestResult | undefined> {
		const {forwarding} = this.parts;
		const minter = parseMintedKey(context.body.idempotency!.key)?.incarnation;
		if (!forwarding || minter === undefined || minter === forwarding.incarnation) {
			return undefined;
		}

		const result = await forwarding.forwarder.forward(context.pipeline.name, context.body, minter, context.deadlineMs, context.requestId);
		return result === 'gone'
			? this.#rejection(context.requestId, 'unknown', 'minter_gone', claimMessage('minter_gone'))
			: result;
	}

	#settleClaim(claim: Claim, result: RequestResult): void {
		const {claims} = this.parts;
		if (!isRejection(result)) {
			claims.settle(claim, {type: 'done', answer: JSON.stringify(result)});
		} else if (result.outcome === 'not_run') {
			claims.release(claim);
		} else {
			claims.settle(claim, {type: 'unknown'});
		}
	}

	async #runStages(context: RequestContext): Promise<RequestResult> {
		const {stages} = context.pipeline;
		const reports: StageReport[] = [];
		let output = '';
		let chunks = 0;
		try {
			for (const [index, stage] of stages.entries()) {
				const result = await this.stages.run(context, stage, output, index === stages.length - 1);
				output = result.output;
				chunks = result.chunks;
				reports.push(result.report);
			}
		} catch (err) {
			context.lifecycle.send({type: 'FAIL'});
			const reason = err instanceof RequestError ? err.reason : 'internal';
			const outcome = context.lifecycle.state === 'not_run' ? 'not_run' : 'unknown';
			return this.#rejection(context.requestId, outcome, reason, errorMessage(err));
		}

		context.lifecycle.send({type: 'DONE'});
		return {
			request_id: context.requestId, outcome: 'done', answer: output, chunks, stages: reports,
		};
	}

	#end(context: RequestContext, result: RequestResult): RequestResult {
		this.parts.events.record({
			kind: isRejection(result) ? 'request_rejected' : 'request_answered',
			requestId: context.requestId,
			team: context.body.team,
			...(isRejection(result) ? {detail: `${result.outcome}: ${result.reason}`} : {}),
		});
		return result;
	}

	#rejection(requestId: string, outcome: Rejection['outcome'], reason: RejectionReason, message: string): Rejection {
		return {
			request_id: requestId, outcome, reason, message,
		};
	}
}

function promptOf(body: CallerRequest): PromptSegment[] {
	return 'text' in body.input ? [{id: 'input', text: body.input.text}] : body.input.segments;
}

/** Minted keys carry their own not-after time; the caller gives it for other keys. */
function bookingKey(context: RequestContext): BookingKey | undefined {
	const {body, pipeline} = context;
	const minted = /^k1\.(?<notAfter>\d+)\./.exec(body.idempotency!.key)?.groups?.notAfter;
	const notAfterMs = minted === undefined ? body.idempotency!.not_after_ms : Number(minted);
	return notAfterMs === undefined
		? undefined
		: {
			team: body.team,
			pipeline: pipeline.name,
			key: body.idempotency!.key,
			notAfterMs,
			attempt: body.idempotency!.attempt,
			bodyHash: createHash('sha256').update(JSON.stringify([body.input, body.max_tokens])).digest('base64url').slice(0, 22),
		};
}

const claimMessages: Partial<Record<RejectionReason, string>> = {
	key_expired: 'Cannot run the request: the key\'s not-after time has passed',
	key_too_long_lived: 'Cannot run the request: the key\'s not-after time lies too far ahead',
	key_conflict: 'Cannot run the request: the key was used with another body',
	log_unavailable: 'Cannot run the request: the platform\'s log is unavailable',
	earlier_attempt_unknown: 'Cannot run the request: this attempt was not run, earlier attempts are unknown',
	claimer_unknown: 'Cannot tell the outcome: another entry VM claimed the key and its outcome is not known',
	minter_gone: 'Cannot tell the outcome: the entry VM that minted the key is gone',
	deadline: 'Cannot run the request: the deadline passed before the key was claimed',
};

function claimMessage(reason: RejectionReason): string {
	return claimMessages[reason] ?? `Cannot run the request: ${reason}`;
}
