import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {Stage} from '../config/index.js';
import {errorMessage} from '../errors/index.js';
import type {EventRecorder} from '../events/index.js';
import {linkController} from '../signals/index.js';
import {
	TargetError, type Chunk, type GenerateCall, type ServiceCall,
} from '../targets/index.js';
import {
	AcquireError, type Grant, type Scheduler, type StageWork,
} from '../teams/index.js';
import {
	excludesNotRun, isNonIdempotent, type ChunkSink, type RequestContext,
} from './request-context.js';
import {callOrLookUp, callService} from './call-service.js';
import {RequestError} from './request-error.js';
import type {StageReport} from './result.js';
import {StreamAssembler} from './stream-assembler.js';

/** Maximum number of attempts of one stage, not counting revoked ones. */
const maxAttempts = 4;
/** Minimum time left until the deadline for a retry to be worth its cost. */
const minRetryBudgetMs: Ms = 20;
/**
 * Delays before the first, second and third retry. A refused connection fails within milliseconds, so without delays all
 * attempts could be spent on dead targets before a health probe removes them.
 */
const retryDelaysMs: readonly Ms[] = [0, 100, 300];
/** Minimum time without data after which a connection is considered half-open. */
const minIdleTimeoutMs: Ms = 1000;
/** Idle timeout of a stream, as a multiple of the pool's decode time per token. */
const streamIdleTimeoutFactor = 20;
/** Minimum time without a reply after which an idempotent service call is considered lost. */
const minServiceTimeoutMs: Ms = 1000;
/** Timeout of an idempotent service call, as a multiple of the pool's service time. */
const serviceTimeoutFactor = 20;
/** Time for a stream to end after its last chunk, before its connection is closed. */
const streamDrainTimeoutMs: Ms = 1000;

/** Output and report of a completed stage. */
export interface StageResult {
	readonly output: string;
	readonly chunks: number;
	readonly report: StageReport;
}

type AttemptState = {
	readonly work: StageWork;
	readonly grant: Grant;
	readonly sentAt: Ms;
	firstChunkMs?: Ms;
};

/**
 * Runs one stage of a request: acquires a target, sends an attempt, and retries or resumes it where allowed.
 *
 * @internal
 */
export class StageRunner {
	static create(options: {clock: Clock; scheduler: Scheduler; events: EventRecorder}): StageRunner {
		return new StageRunner(options.clock, options.scheduler, options.events);
	}

	private constructor(private readonly clock: Clock, private readonly scheduler: Scheduler, private readonly events: EventRecorder) {}

	/** Runs the stage with the output of the previous one; throws `RequestError` when the stage cannot be completed. */
	async run(context: RequestContext, stage: Stage, input: string, isLast: boolean): Promise<StageResult> {
		const assembler = StreamAssembler.create();
		const startedAt = this.clock.now();
		const failedTargets: string[] = [];
		let waitMs = 0;
		let revocations = 0;
		for (let attempt = 1; ; attempt++) {
			const work = this.#createWork(context, stage, {attempt, input, failedTargets: [...failedTargets]});
			const queuedAt = this.clock.now();
			const grant = await this.#acquire(work, context);
			waitMs += this.clock.now() - queuedAt;
			const takeRetry = this.#createRetry(context, work, revocations);
			try {
				const output = stage.kind === 'generate'
					? await this.#generate(context, work, grant, {assembler, isLast, takeRetry})
					: await this.#call(context, work, grant, {input, takeRetry});
				return {
					output,
					chunks: assembler.nextIndex,
					report: {
						stage: stage.name, target: grant.target.name, attempts: attempt, wait_ms: round(waitMs), service_ms: round(this.clock.now() - startedAt - waitMs),
					},
				};
			} catch (err) {
				if (this.#isRevoked(context, work, grant)) {
					// The target did not fail, so the next attempt may use it again.
					revocations++;
				} else {
					this.#ensureRetryAllowed(context, work, {err, takeRetry});
					failedTargets.push(grant.target.name);
					await this.#waitBeforeRetry(context, attempt - revocations);
				}
			}
		}
	}

	#createWork(context: RequestContext, stage: Stage, options: {attempt: number; input: string; failedTargets: readonly string[]}): StageWork {
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
			failedTargets: options.failedTargets,
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

	async #call(context: RequestContext, work: StageWork, grant: Grant, {input, takeRetry}: {input: string; takeRetry: () => boolean}): Promise<string> {
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
		const timeoutMs = nonIdempotent ? undefined : this.#limitTimeoutMs(context, Math.max(minServiceTimeoutMs, grant.target.pool.service_ms * serviceTimeoutFactor));
		return this.#runAttempt(context, work, grant, async controller => {
			const {idempotencyKey} = call;
			if (grant.target.pool.lookup && idempotencyKey !== undefined) {
				const reply = await callOrLookUp({
					clock: this.clock, service, call: {...call, idempotencyKey}, signal: controller.signal,
				});
				return reply.output;
			}

			const cancelTimeout = timeoutMs === undefined ? () => undefined : this.#startTimeout(controller, grant, {timeoutMs, mayGiveUp: takeRetry});
			const reply = await callService(service, call, controller.signal).finally(cancelTimeout);
			return reply.output;
		});
	}

	async #generate(context: RequestContext, work: StageWork, grant: Grant, options: {assembler: StreamAssembler; isLast: boolean; takeRetry: () => boolean}): Promise<string> {
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

		const idleTimeoutMs = Math.max(minIdleTimeoutMs, grant.target.pool.decode_ms_per_token * streamIdleTimeoutFactor);
		const firstChunkTimeoutMs = this.#limitTimeoutMs(context, Number.POSITIVE_INFINITY);
		const mayGiveUp = () => !isNonIdempotent(context, work.stage) && options.takeRetry();
		return this.#runAttempt(context, work, grant, async (controller, state) => {
			// The first chunk may have to wait for a free slot in the engine, so its timeout is longer.
			let cancelTimeout = this.#startTimeout(controller, grant, {timeoutMs: firstChunkTimeoutMs, mayGiveUp});
			const stream = engine.generate(call, controller.signal)[Symbol.asyncIterator]();
			try {
				for (let batch = await stream.next(); !batch.done; batch = await stream.next()) {
					state.firstChunkMs ??= this.clock.now() - state.sentAt;
					this.#acceptChunks(call, batch.value, options.isLast ? context.sink : undefined, assembler);
					cancelTimeout();
					cancelTimeout = this.#startTimeout(controller, grant, {timeoutMs: idleTimeoutMs, mayGiveUp});
					if (assembler.done) {
						this.#drainStream(stream, controller);
						return assembler.text;
					}
				}
			} finally {
				cancelTimeout();
			}

			throw TargetError.create('lost', `Cannot read the stream of ${grant.target.name}: it ended before its last chunk`);
		});
	}

	/**
	 * Limits a timeout to half of the time left until the deadline, so that another target can still answer in time, but
	 * not below `minIdleTimeoutMs`.
	 */
	#limitTimeoutMs(context: RequestContext, timeoutMs: Ms): Ms {
		return Math.max(minIdleTimeoutMs, Math.min(timeoutMs, (context.deadlineMs - this.clock.now()) / 2));
	}

	/**
	 * Aborts an attempt when no data arrives in time, if it may be given up then; a silent target may go on. Its connection
	 * may be half-open, so later calls to the target use new connections.
	 */
	#startTimeout(controller: AbortController, grant: Grant, {timeoutMs, mayGiveUp}: {timeoutMs: Ms; mayGiveUp: () => boolean}): CancelTimer {
		const {target} = grant;
		let cancel: CancelTimer = () => undefined;
		const start = () => {
			cancel = this.clock.after(timeoutMs, () => {
				if (!mayGiveUp()) {
					start();
					return;
				}

				(target.engine ?? target.service)?.renewConnections();
				controller.abort(TargetError.create('lost', `Cannot read from ${target.name}: no data for ${Math.round(timeoutMs)} ms`));
			});
		};

		start();
		return () => {
			cancel();
		};
	}

	#acceptChunks(call: GenerateCall, chunks: readonly Chunk[], sink: ChunkSink | undefined, assembler: StreamAssembler): void {
		const firstIndex = assembler.nextIndex;
		const accepted = chunks.filter(chunk => assembler.accept(call, chunk));
		if (sink && accepted.length > 0) {
			sink(accepted.map(chunk => chunk.text), firstIndex);
		}
	}

	/** Reads a complete stream to its end in the background, so that its connection can be reused. */
	#drainStream(stream: AsyncIterator<readonly Chunk[]>, controller: AbortController): void {
		const cancel = this.clock.after(streamDrainTimeoutMs, () => {
			controller.abort();
		});
		void stream.next().catch(() => undefined).finally(cancel);
	}

	/** Runs one attempt and settles its grant exactly once. */
	async #runAttempt(context: RequestContext, work: StageWork, grant: Grant, send: (controller: AbortController, state: AttemptState) => Promise<string>): Promise<string> {
		const state: AttemptState = {work, grant, sentAt: this.clock.now()};
		if (state.sentAt >= context.deadlineMs) {
			// The deadline can pass between grant and sending when the process was paused.
			grant.settle({outcome: 'cancelled', serviceMs: 0});
			throw RequestError.create('deadline', `Cannot send stage ${work.stage.name}: the deadline passed`);
		}

		if (excludesNotRun(context, work.stage)) {
			context.lifecycle.send({type: 'SENT'});
		}

		this.#record('attempt_sent', work, grant.target.name);
		// A non-idempotent attempt runs to completion even when its caller disconnects, so that its outcome is known.
		const abortSignals = isNonIdempotent(context, work.stage) ? [context.deadlineSignal] : [context.signal, grant.revoked, grant.target.suspectSignal];
		const attempt = linkController(abortSignals);
		try {
			const output = await send(attempt.controller, state);
			this.#settle(state, 'ok', output.length);
			return output;
		} catch (err) {
			const cancelled = context.signal.aborted || grant.revoked.aborted;
			const failure = err instanceof TargetError ? err.failure : 'lost';
			this.#settle(state, cancelled ? 'cancelled' : (failure === 'lost' ? 'lost' : 'failed'), 0, errorMessage(err));
			if (cancelled && grant.target.engine) {
				void grant.target.engine.cancel({requestId: work.requestId, stage: work.stage.name, attempt: work.attempt}).catch(() => undefined);
			}

			throw err;
		} finally {
			attempt.unlink();
		}
	}

	#settle(state: AttemptState, outcome: 'ok' | 'failed' | 'lost' | 'cancelled', bytes: number, detail?: string): void {
		this.#record('attempt_settled', state.work, state.grant.target.name, detail ? `${outcome}: ${detail}` : outcome);
		state.grant.settle({
			outcome, serviceMs: this.clock.now() - state.sentAt, bytes, ...(state.firstChunkMs === undefined ? {} : {firstChunkMs: state.firstChunkMs}),
		});
	}

	/** Whether the scheduler revoked the slot: the attempt is queued again without spending the retry budget. */
	#isRevoked(context: RequestContext, work: StageWork, grant: Grant): boolean {
		return grant.revoked.aborted && !isNonIdempotent(context, work.stage) && !context.signal.aborted && this.clock.now() < context.deadlineMs;
	}

	/** Returns a function that takes a retry after this attempt from the budget, at most once, and returns whether there is one. */
	#createRetry(context: RequestContext, work: StageWork, revocations: number): () => boolean {
		let isTaken = false;
		return () => {
			const isPossible = work.attempt - revocations < maxAttempts && context.deadlineMs - this.clock.now() >= minRetryBudgetMs;
			isTaken ||= isPossible && this.scheduler.spendRetry(work.team, work.stage.pool);
			return isTaken;
		};
	}

	/** Returns when the stage may be retried; otherwise throws the `RequestError` that ends the request. */
	#ensureRetryAllowed(context: RequestContext, work: StageWork, {err, takeRetry}: {err: unknown; takeRetry: () => boolean}): void {
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

		if (!takeRetry()) {
			throw RequestError.create(failure === 'mismatch' ? 'answer_mismatch' : 'target_failed', `Cannot finish stage ${work.stage.name} after ${work.attempt} attempts: ${errorMessage(err)}`, err);
		}
	}

	/** Waits before a retry, for at most a tenth of the time left until the deadline. */
	async #waitBeforeRetry(context: RequestContext, attempts: number): Promise<void> {
		const remaining = context.deadlineMs - this.clock.now();
		const delayMs = Math.min(retryDelaysMs[attempts - 1] ?? 0, remaining / 10);
		if (delayMs > 0) {
			await this.clock.sleep(delayMs, context.signal);
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
