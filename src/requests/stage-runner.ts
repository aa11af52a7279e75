import type {Clock, Ms} from '../clock/index.js';
import type {Stage} from '../config/index.js';
import {errorMessage} from '../errors/index.js';
import type {EventRecorder} from '../events/index.js';
import {TargetError, type GenerateCall, type ServiceCall} from '../targets/index.js';
import {
	AcquireError, type Grant, type Scheduler, type StageWork,
} from '../teams/index.js';
import {
	countsAsRun, isNonIdempotent, type RequestContext,
} from './request-context.js';
import {RequestError} from './request-error.js';
import type {StageReport} from './result.js';
import {StreamAssembler} from './stream-assembler.js';

/** Most attempts of one stage. */
const maxAttempts = 4;
/** A retry is not worth its cost with less than this left of the deadline. */
const minRetryBudgetMs: Ms = 20;
/** Bounds of the silence after which a stream is taken for half open. */
const minStallMs: Ms = 1000;
const stallGapFactor = 20;

/** Output of a stage. */
export interface StageResult {
	readonly output: string;
	readonly chunks: number;
	readonly report: StageReport;
}

type AttemptState = {
	readonly work: StageWork;
	readonly grant: Grant;
	readonly sentAt: Ms;
	firstMs?: Ms;
};

/**
 * Runs one stage of a request: acquires a target, sends an attempt, retries or resumes where that is allowed.
 *
 * @internal
 */
export class StageRunner {
	static create(options: {clock: Clock; scheduler: Scheduler; events: EventRecorder}): StageRunner {
		return new StageRunner(options.clock, options.scheduler, options.events);
	}

	private constructor(private readonly clock: Clock, private readonly scheduler: Scheduler, private readonly events: EventRecorder) {}

	/** Runs the stage on the output of the one before; throws `RequestError` when it cannot be completed. */
	async run(context: RequestContext, stage: Stage, input: string, isLast: boolean): Promise<StageResult> {
		const assembler = StreamAssembler.create();
		const startedAt = this.clock.now();
		let previousTarget: string | undefined;
		let waitMs = 0;
		let revocations = 0;
		for (let attempt = 1; ; attempt++) {
			const work = this.#work(context, stage, {attempt, input, previousTarget});
			const queuedAt = this.clock.now();
			const grant = await this.#acquire(work, context);
			waitMs += this.clock.now() - queuedAt;
			try {
				const output = stage.kind === 'generate'
					? await this.#generate(context, work, grant, {assembler, isLast})
					: await this.#call(context, work, grant, input);
				return {
					output,
					chunks: assembler.nextIndex,
					report: {
						stage: stage.name, target: grant.target.name, attempts: attempt, wait_ms: round(waitMs), service_ms: round(this.clock.now() - startedAt - waitMs),
					},
				};
			} catch (err) {
				if (this.#isRevoked(context, work, grant)) {
					// The target is sound, so the attempt may go back to it.
					revocations++;
				} else {
					this.#checkRetry(context, work, {err, revocations});
					previousTarget = grant.target.name;
				}
			}
		}
	}

	#work(context: RequestContext, stage: Stage, options: {attempt: number; input: string; previousTarget: string | undefined}): StageWork {
		return {
			requestId: context.requestId,
			team: context.body.team,
			pipeline: context.pipeline,
			stage,
			attempt: options.attempt,
			prompt: options.input === '' ? context.prompt : [...context.prompt, {id: 'context', text: options.input}],
			maxTokens: Math.min(context.body.max_tokens, stage.max_tokens ?? context.body.max_tokens),
			deadlineMs: context.deadlineMs,
			idempotent: !isNonIdempotent(context, stage),
			previousTarget: options.previousTarget,
		};
	}

	async #acquire(work: StageWork, context: RequestContext): Promise<Grant> {
		this.#record('attempt_queued', work);
		try {
			return await this.scheduler.acquire(work, context.signal);
		} catch (err) {
			if (err instanceof AcquireError) {
				throw RequestError.create(err.failure === 'aborted' ? 'caller_left' : err.failure, err.message, err);
			}

			throw err;
		}
	}

	async #call(context: RequestContext, work: StageWork, grant: Grant, input: string): Promise<string> {
		const {service} = grant.target;
		if (!service) {
			grant.settle({outcome: 'failed', serviceMs: 0});
			throw RequestError.create('no_target', `Cannot run stage ${work.stage.name}: target ${grant.target.name} is not a service`);
		}

		const nonIdempotent = isNonIdempotent(context, work.stage);
		const call: ServiceCall = {
			requestId: work.requestId,
			stage: work.stage.name,
			attempt: work.attempt,
			team: work.team,
			shareClass: grant.shareClass,
			kind: work.stage.kind,
			input: input === '' ? work.prompt.map(segment => segment.text).join('\n') : input,
			idempotent: !nonIdempotent,
			...(nonIdempotent && context.body.idempotency ? {idempotencyKey: context.body.idempotency.key} : {}),
			remainingMs: context.deadlineMs - this.clock.now(),
		};
		return this.#attempt(context, work, grant, async signal => {
			const reply = await service.call(call, signal);
			if (reply.requestId !== call.requestId || reply.stage !== call.stage || reply.attempt !== call.attempt) {
				throw TargetError.create('mismatch', `Cannot accept a reply: it answers ${reply.requestId}/${reply.stage}/${reply.attempt}`);
			}

			return reply.output;
		});
	}

	async #generate(context: RequestContext, work: StageWork, grant: Grant, options: {assembler: StreamAssembler; isLast: boolean}): Promise<string> {
		const {engine} = grant.target;
		if (!engine) {
			grant.settle({outcome: 'failed', serviceMs: 0});
			throw RequestError.create('no_target', `Cannot run stage ${work.stage.name}: target ${grant.target.name} is not an engine`);
		}

		const {assembler} = options;
		const call: GenerateCall = {
			requestId: work.requestId,
			stage: work.stage.name,
			attempt: work.attempt,
			team: work.team,
			shareClass: grant.shareClass,
			prompt: work.prompt,
			maxTokens: work.maxTokens,
			fromIndex: assembler.nextIndex,
			generatedText: assembler.text,
			remainingMs: context.deadlineMs - this.clock.now(),
		};
		if (call.fromIndex > 0) {
			this.#record('attempt_resumed', work, grant.target.name, `from index ${call.fromIndex}`);
		}

		const stallMs = Math.max(minStallMs, grant.target.pool.decode_ms_per_token * stallGapFactor);
		return this.#attempt(context, work, grant, async (signal, state) => {
			const stall = new AbortController();
			let cancelStall: () => void = () => undefined;
			const onStall = () => {
				stall.abort(TargetError.create('lost', `Cannot read the stream of ${grant.target.name}: silent for ${stallMs} ms`));
			};

			try {
				for await (const chunks of engine.generate(call, AbortSignal.any([signal, stall.signal]))) {
					state.firstMs ??= this.clock.now() - state.sentAt;
					cancelStall();
					const firstIndex = assembler.nextIndex;
					const fresh = chunks.filter(chunk => assembler.accept(call, chunk));
					if (options.isLast && fresh.length > 0) {
						context.sink(fresh.map(chunk => chunk.text), firstIndex);
					}

					if (assembler.done) {
						return assembler.text;
					}

					cancelStall = this.clock.after(stallMs, onStall);
				}
			} finally {
				cancelStall();
			}

			throw TargetError.create('lost', `Cannot read the stream of ${grant.target.name}: it ended before its last chunk`);
		});
	}

	/** Sends one attempt and settles its grant exactly once. */
	async #attempt(context: RequestContext, work: StageWork, grant: Grant, send: (signal: AbortSignal, state: AttemptState) => Promise<string>): Promise<string> {
		const state: AttemptState = {work, grant, sentAt: this.clock.now()};
		if (countsAsRun(context, work.stage)) {
			context.lifecycle.send({type: 'SENT'});
		}

		this.#record('attempt_sent', work, grant.target.name);
		const deadline = new AbortController();
		const cancelDeadline = this.clock.after(context.deadlineMs - state.sentAt, () => {
			deadline.abort();
		});
		// A non-idempotent attempt that was sent is waited for even when its caller leaves, so that its outcome is known.
		const signals = isNonIdempotent(context, work.stage) ? [deadline.signal] : [deadline.signal, context.signal, grant.revoked];
		try {
			const output = await send(AbortSignal.any(signals), state);
			this.#settle(state, 'ok', output.length);
			return output;
		} catch (err) {
			const cancelled = deadline.signal.aborted || context.signal.aborted || grant.revoked.aborted;
			const failure = err instanceof TargetError ? err.failure : 'lost';
			this.#settle(state, cancelled ? 'cancelled' : (failure === 'lost' ? 'lost' : 'failed'), 0, errorMessage(err));
			if (cancelled && grant.target.engine) {
				void grant.target.engine.cancel({requestId: work.requestId, stage: work.stage.name, attempt: work.attempt}).catch(() => undefined);
			}

			throw err;
		} finally {
			cancelDeadline();
		}
	}

	#settle(state: AttemptState, outcome: 'ok' | 'failed' | 'lost' | 'cancelled', bytes: number, detail?: string): void {
		this.#record('attempt_settled', state.work, state.grant.target.name, detail ? `${outcome}: ${detail}` : outcome);
		state.grant.settle({
			outcome, serviceMs: this.clock.now() - state.sentAt, bytes, ...(state.firstMs === undefined ? {} : {firstMs: state.firstMs}),
		});
	}

	/** True when the scheduler took the slot back: the attempt is queued again and costs no retry. */
	#isRevoked(context: RequestContext, work: StageWork, grant: Grant): boolean {
		return grant.revoked.aborted && !isNonIdempotent(context, work.stage) && !context.signal.aborted && this.clock.now() < context.deadlineMs;
	}

	/** Returns when the stage may be tried again; throws the request's end otherwise. */
	#checkRetry(context: RequestContext, work: StageWork, {err, revocations}: {err: unknown; revocations: number}): void {
		if (err instanceof RequestError) {
			throw err;
		}

		const remaining = context.deadlineMs - this.clock.now();
		const failure = err instanceof TargetError ? err.failure : 'lost';
		if (remaining <= 0) {
			throw RequestError.create('deadline', `Cannot finish stage ${work.stage.name}: the deadline passed`, err);
		}

		if (context.signal.aborted) {
			throw RequestError.create('caller_left', `Cannot finish stage ${work.stage.name}: the caller left`, err);
		}

		const mayHaveRun = failure !== 'not_sent' && failure !== 'refused';
		if (isNonIdempotent(context, work.stage) && mayHaveRun) {
			throw RequestError.create('target_failed', `Cannot finish stage ${work.stage.name}: ${errorMessage(err)}`, err);
		}

		if (work.attempt - revocations >= maxAttempts || remaining < minRetryBudgetMs || !this.scheduler.spendRetry(work.team, work.stage.pool)) {
			throw RequestError.create(failure === 'mismatch' ? 'answer_mismatch' : 'target_failed', `Cannot finish stage ${work.stage.name} after ${work.attempt} attempts: ${errorMessage(err)}`, err);
		}
	}

	#record(kind: 'attempt_queued' | 'attempt_sent' | 'attempt_settled' | 'attempt_resumed', work: StageWork, target?: string, detail?: string): void {
		this.events.record({
			kind,
			requestId: work.requestId,
			team: work.team,
			stage: work.stage.name,
			attempt: work.attempt,
			...(target === undefined ? {} : {target}),
			...(detail === undefined ? {} : {detail}),
		});
	}
}

function round(ms: Ms): Ms {
	return Math.round(ms * 100) / 100;
}
