import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Ms} from '../clock/index.js';
import type {StageResult} from '../pools/index.js';
import type {RelayTarget} from '../registry/index.js';
import {
	isRepeatable, pickService, type Route, type RouteTable, type TeamDeclaration,
} from '../routes/index.js';
import {chooseEngine} from './choose-engine.js';
import {chooseTarget} from './choose-target.js';
import {nextStep} from './next-step.js';
import type {RelayParts} from './relay-parts.js';
import type {CallerHead} from './relay-codec.js';
import type {Rejection, RelayReason} from './rejection.js';
import {RequestRecord, type RequestEnd} from './request-record.js';
import {sendRejection} from './send-rejection.js';
import {StreamDelivery} from './stream-delivery.js';
import {TimeBudget} from './time-budget.js';
import {writeAnswerHead} from './write-answer-head.js';
import {runAttempt, type AttemptEnd, type WholeAnswer} from './target-attempt.js';

/** Targets tried that could not be reached at all, at most. */
const maxUnsent = 3;
/** An engine refuses with this status when a result that it should take is gone. */
const inputGoneStatus = 409;

/** A request that was read, with its route and team. */
export interface RelayRequest {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly head: CallerHead;
	readonly attemptId: string;
	readonly body: Buffer;
	readonly route: Route;
	readonly team: TeamDeclaration | undefined;
	readonly table: RouteTable;
	readonly arrivedMs: Ms;
}

/**
 * One request on its way: stages, attempts at targets, and exactly one answer to the caller.
 *
 * @example
 * await RelayRun.create(parts, request).run();
 */
export class RelayRun {
	static create(parts: RelayParts, request: RelayRequest): RelayRun {
		return new RelayRun(parts, request);
	}

	readonly #stop = new AbortController();
	readonly #time: TimeBudget;
	readonly #service: string;
	readonly #tried = new Set<RelayTarget>();
	readonly #record: RequestRecord;
	readonly #delivery: StreamDelivery | undefined;
	/** Results that the request holds at the makers. */
	#results: readonly StageResult[] = [];
	#sent = 0;
	#unsent = 0;
	#mayHaveRun = 0;
	#hasLeft = false;
	#isOver = false;
	#fallback: WholeAnswer | undefined;

	private constructor(private readonly parts: RelayParts, private readonly request: RelayRequest) {
		const {route, head, arrivedMs, res} = request;
		this.#record = RequestRecord.create(arrivedMs);
		this.#time = TimeBudget.create({route, head, arrivedMs});
		this.#service = pickService(route, parts.random.float());
		this.#delivery = route.kind === 'stream' ? StreamDelivery.create(res, {isClosing: parts.isClosing}) : undefined;
	}

	/** Resolves when the caller has its answer or has left. */
	async run(): Promise<void> {
		const {res} = this.request;
		const onClose = () => {
			if (!res.writableFinished) {
				this.#hasLeft = true;
				this.#stop.abort();
			}
		};

		const cancelTimeout = this.parts.clock.after(this.#time.deadlineMs - this.parts.clock.now(), () => {
			this.#expire();
		});
		res.on('close', onClose);
		this.parts.repeats(this.#service).recordRequest(this.parts.clock.now());
		try {
			await this.#serve();
		} finally {
			cancelTimeout();
			res.off('close', onClose);
			this.#freeResults();
		}
	}

	async #serve(): Promise<void> {
		let inputs = await this.#inputs();
		while (inputs && !this.#stop.signal.aborted) {
			const target = this.#choose();
			if (!target) {
				this.#reject({status: this.#mayHaveRun > 0 ? 502 : 503, reason: 'no_target', retryAfterMs: 300});
				return;
			}

			const end = await this.#attempt(target, inputs);
			if (end.kind === 'answer') {
				this.#deliver(end.answer);
				return;
			}

			if (end.kind === 'streamed') {
				this.#finish({outcome: 'answered', reason: '', status: 200});
				return;
			}

			if (end.kind === 'aborted' || !this.#continue(end)) {
				break;
			}

			// A stage's results may be gone with the attempt that took them.
			inputs = this.#hasStages && this.#results.length === 0 ? await this.#inputs() : inputs;
		}

		if (this.#hasLeft) {
			this.#finish({outcome: 'left', reason: '', status: 0});
		}
	}

	/** Runs the stages; `undefined` when the request is over. */
	async #inputs(): Promise<readonly string[] | undefined> {
		if (!this.#hasStages) {
			return [];
		}

		const {parts, request} = this;
		const {route, head, attemptId} = request;
		const startedMs = parts.clock.now();
		const outcome = await parts.stages.run({
			attemptId,
			stages: route.stages.map((stage, index) => ({...stage, pieces: head.pieces[index] ?? 0})),
			pieceKey: head.pieceKey,
			zone: this.#choose()?.entry.zone ?? parts.zone,
			priority: this.#priority,
			callByMs: this.#time.callByMs,
			deadlineMs: this.#time.stagesDeadlineMs,
		}, this.#stop.signal);
		const tookMs = parts.clock.now() - startedMs;
		this.#record.staged(tookMs);
		parts.metrics.staged(tookMs);
		if ('results' in outcome) {
			this.#results = outcome.results;
			if (this.#isOver || this.#hasLeft) {
				this.#freeResults();
				return undefined;
			}

			return outcome.results.map(result => result.handle);
		}

		if (!this.#isOver && !this.#hasLeft) {
			const reason: RelayReason = outcome.failure === 'late' ? 'stages_late' : (outcome.failure === 'overloaded' ? 'stages_overloaded' : 'stages_failed');
			this.#reject({status: this.#mayHaveRun > 0 ? 502 : 503, reason, retryAfterMs: outcome.retryAfterMs});
		}

		return undefined;
	}

	get #hasStages(): boolean {
		const {route, head} = this.request;
		return route.stages.some((_, stage) => (head.pieces[stage] ?? 0) > 0);
	}

	#freeResults(): void {
		if (this.#results.length > 0) {
			this.parts.stages.free(this.#results.map(result => result.handle));
			this.#results = [];
		}
	}

	async #attempt(target: RelayTarget, inputs: readonly string[]): Promise<AttemptEnd> {
		const {parts, request} = this;
		const {clock, codec, pools, memory, probe, metrics} = parts;
		const {head, attemptId, body, req, route, team} = request;
		const startedMs = clock.now();
		const {prompt} = head;
		this.#tried.add(target);
		if (prompt) {
			target.pendingTokens += prompt.inputTokens;
		}

		let isPending = prompt !== undefined;
		const settlePrompt = () => {
			if (isPending) {
				isPending = false;
				target.pendingTokens -= prompt!.inputTokens;
			}
		};

		const end = await runAttempt({
			clock,
			pools,
			codec,
			target,
			attemptId,
			sink: this.#delivery,
			signal: this.#stop.signal,
			probe,
			answerWithinMs: this.#time.answerWithinMs(startedMs, this.#sent + 1 < route.maxAttempts),
			probeAfterMs: prompt ? this.#time.probeAfterMs(target.pendingTokens) : undefined,
			request: {
				address: target.entry.address,
				method: req.method!,
				path: req.url!,
				body,
				isFresh: !isRepeatable(route),
				headers: codec.writeTarget(head, {
					targetId: target.id,
					team: team?.name,
					leftMs: this.#time.leftMs(startedMs),
					urgency: prompt ? Math.min(9, this.#priority * 2) : undefined,
					inputs,
					lastEventId: this.#delivery?.lastId === undefined ? head.lastEventId : String(this.#delivery.lastId),
				}),
			},
			onAnswering: () => {
				this.#record.answering(clock.now());
				settlePrompt();
				// The engine has fetched its inputs when it answers.
				this.#freeResults();
				if (prompt) {
					memory.sent(target.id, prompt.parts, clock.now());
				}
			},
		});
		settlePrompt();
		this.#record.attempted(target, end, {startedMs, now: clock.now()});
		metrics.attempt(end.kind === 'failed' ? end.attempt : end.kind);
		return end;
	}

	/** True when the request goes on with another attempt. */
	#continue(end: AttemptEnd & {kind: 'failed'}): boolean {
		const {parts, request} = this;
		const {route} = request;
		const {attempt} = end;
		if (attempt === 'unsent') {
			this.#unsent++;
		} else {
			this.#sent++;
		}

		if (attempt !== 'unsent' && attempt !== 'refused') {
			this.#mayHaveRun++;
		}

		if (attempt === 'error') {
			this.#fallback = end.answer;
		}

		if (end.answer?.status === inputGoneStatus) {
			this.#freeResults();
		}

		const now = parts.clock.now();
		const next = nextStep({
			attempt,
			kind: route.kind,
			isResumable: route.isResumable,
			sent: this.#sent,
			mayHaveRun: this.#mayHaveRun,
			maxAttempts: route.maxAttempts,
			hasUntriedTarget: this.#choose() !== undefined && this.#unsent <= maxUnsent,
			hasTime: this.#time.hasTime(now),
			spendRepeat: () => parts.repeats(this.#service).spend(now),
		});
		if (next.step === 'retry') {
			parts.logger.info('Sends a request to another target.', {
				id: request.attemptId, service: this.#service, after: attempt, reason: end.reason, left_ms: Math.round(this.#time.deadlineMs - now),
			});
			return true;
		}

		if (this.#delivery?.hasHead) {
			this.#breakOff(end.reason);
		} else if (this.#fallback && next.step === 'deliver_error') {
			this.#deliver(this.#fallback);
		} else {
			this.#reject(next.step === 'reject' ? next.rejection : {status: 502, reason: 'target_failed'});
		}

		return false;
	}

	#choose(): RelayTarget | undefined {
		const {registry, clock, random, memory, distance, rank} = this.parts;
		const {prompt} = this.request.head;
		const targets = registry.open(this.#service);
		const options = {now: clock.now(), tried: this.#tried, distance};
		return prompt
			? chooseEngine(targets, {
				...options, prompt, bodyBytes: this.request.body.length, results: this.#results, memory, rank,
			})
			: chooseTarget(targets, {...options, point: random.float()});
	}

	get #priority(): number {
		return this.request.team?.priority ?? this.request.route.priority;
	}

	#deliver(answer: WholeAnswer): void {
		const {res} = this.request;
		if (this.#isOver || res.destroyed) {
			return;
		}

		writeAnswerHead(res, answer, {isClosing: this.parts.isClosing(), bytes: answer.body.length});
		res.end(answer.body);
		this.#finish({outcome: 'answered', reason: '', status: answer.status});
	}

	#reject(rejection: Rejection): void {
		const {res} = this.request;
		if (this.#isOver || this.#hasLeft) {
			return;
		}

		if (res.headersSent) {
			this.#breakOff(rejection.reason);
			return;
		}

		sendRejection(res, rejection, this.parts.isClosing());
		this.#finish({outcome: 'rejected', reason: rejection.reason, status: rejection.status});
	}

	/** Ends a stream so that the caller sees that it is not complete. */
	#breakOff(reason: string): void {
		if (!this.#isOver) {
			this.#finish({outcome: 'broken_off', reason, status: 200});
			this.#delivery?.breakOff();
		}
	}

	/** The caller's time or the route's is over. */
	#expire(): void {
		if (this.#isOver || this.#hasLeft) {
			return;
		}

		if (this.#delivery?.hasHead) {
			this.#breakOff('the time is over');
		} else if (this.#record.attempts === 0 && this.#tried.size === 0) {
			this.#reject({status: 503, reason: 'timeout', retryAfterMs: 0});
		} else {
			this.#reject({status: 504, reason: 'timeout'});
		}

		this.#stop.abort();
	}

	#finish(end: RequestEnd): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		const {request, parts} = this;
		const now = parts.clock.now();
		parts.metrics.ended({
			outcome: end.outcome, reason: end.outcome === 'rejected' ? end.reason : '', tookMs: now - request.arrivedMs, firstByteMs: this.#record.firstByteMs,
		});
		parts.logger.info('Ended a request.', {
			id: request.attemptId,
			route: request.route.name,
			service: this.#service,
			team: request.team?.name,
			config: request.table.version,
			targets_age_ms: Math.round(parts.targetsAgeMs()),
			time_ms: Math.round(this.#time.deadlineMs - request.arrivedMs),
			...(this.#delivery ? {events: this.#delivery.count} : {}),
			...this.#record.fields(end, now),
		});
	}
}
