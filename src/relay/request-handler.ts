import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Ms} from '../clock/index.js';
import {findAllowedRegions, type AllowedRegions} from '../placement/index.js';
import type {
	PlannedStage, RequestRetry, StageFailure, StagePlanOutcome, StageResult,
} from '../pools/index.js';
import {requestId, type QuarantineCause} from '../quarantine/index.js';
import type {RelayTarget} from '../registry/index.js';
import {RequestResults} from '../retention/index.js';
import {
	isRetryable, pickService, type Route, type RouteTable, type TeamDeclaration,
} from '../routes/index.js';
import {
	decideEnd, decideRetry, findRetryDenial, isNotSent, type AttemptFailure, type FailedAttemptState, type RetryDecision, type RetryDenial, type RetryEnd,
} from './decide-retry.js';
import type {BrokenProgress} from './crash-watch.js';
import type {RelayContext} from './relay-context.js';
import type {CallerHead} from './relay-codec.js';
import type {Rejection, RejectionReason} from './rejection.js';
import {RequestRecord, type RequestResult} from './request-record.js';
import {sendRejection} from './send-rejection.js';
import {sharedPartIds} from './shared-part-ids.js';
import {startPrompt} from './start-prompt.js';
import {StreamWriter} from './stream-writer.js';
import {TargetPicker} from './target-picker.js';
import {TimeBudget} from './time-budget.js';
import {unsentBytes} from './unsent-bytes.js';
import {writeResponseHead} from './write-response-head.js';
import {
	runAttempt, type AttemptOutcome, type ResponseProgress, type TargetResponse,
} from './target-attempt.js';

/** Maximum number of retries of a request after attempts in which no byte of it reached the target. */
const maxUnsentRetries = 3;
/** Delay after which a caller may ask again for what crashes targets; it stays rejected for much longer. */
const quarantineRetryAfterMs: Ms = 30_000;
/** Time for which a request that reached none of its targets waits until it is known whether another entry VM does, at most this share of what is left. */
const maxCutCheckMs: Ms = 1000;
const cutCheckShare = 0.5;
/** Delay after which a caller may ask again for a prompt that no engine has room for. */
const enginesFullRetryAfterMs: Ms = 500;
/** Status with which an engine refuses a request when a stage result among its inputs no longer exists. */
const inputGoneStatus = 409;

/** Progress of a broken stream, by how far its response had got. */
const brokenProgress: Readonly<Record<ResponseProgress, BrokenProgress>> = {none: 'waiting', begun: 'begun', answered: 'streaming'};

/** Reasons for rejections of requests whose stages have failed; others are `stages_failed`. */
const stageRejections: Readonly<Partial<Record<StageFailure, RejectionReason>>> = {late: 'stages_late', overloaded: 'stages_overloaded', no_budget: 'stages_no_budget'};

type FailedAttempt = AttemptOutcome & {kind: 'failed'};

/** A fully received request with its route and team. */
export interface RoutedRequest {
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
 * Handles one request: runs its stages, sends it to targets, and gives the caller at most one response.
 *
 * @example
 * await RequestHandler.create(context, request).run();
 */
export class RequestHandler {
	static create(context: RelayContext, request: RoutedRequest): RequestHandler {
		return new RequestHandler(context, request);
	}

	readonly #abortController = new AbortController();
	readonly #timeBudget: TimeBudget;
	readonly #service: string;
	readonly #regions: AllowedRegions;
	readonly #picker: TargetPicker;
	readonly #record: RequestRecord;
	readonly #streamWriter: StreamWriter | undefined;
	readonly #stages: readonly PlannedStage[];
	/** Stage results that the targets still keep for the request. */
	readonly #results: RequestResults;
	#sentCount = 0;
	#unsentCount = 0;
	#possibleRunCount = 0;
	#isCallerGone = false;
	#isFinished = false;
	#isAnswered = false;
	/** Whether the request is left to another entry VM. */
	#isLeft = false;
	#isAttempting = false;
	#errorResponse: TargetResponse | undefined;
	/** Target with a place for the next attempt, for which a retry is taken from the budget already. */
	#reservedTarget: RelayTarget | undefined;
	/** The retry that is reserved for the next attempt. */
	readonly #retry: RequestRetry;
	/** Whether the stages have failed while they were run again for a further attempt. */
	#hasFailedInputs = false;
	/** Prompt parts that other requests may share. */
	readonly #sharedParts: readonly string[];
	#requestId: string | undefined;

	private constructor(private readonly context: RelayContext, private readonly request: RoutedRequest) {
		const {route, head, arrivedMs, res} = request;
		this.#record = RequestRecord.create(arrivedMs);
		this.#timeBudget = TimeBudget.create({route, head, arrivedMs});
		this.#sharedParts = head.prompt ? sharedPartIds(head.prompt) : [];
		this.#service = pickService(route, context.random.float());
		this.#retry = context.createRetry(this.#service);
		this.#regions = findAllowedRegions(route, request.team);
		this.#stages = route.stages.map((stage, index) => ({...stage, pieces: head.pieces[index] ?? 0}));
		this.#results = RequestResults.create({
			clock: context.clock, retention: context.retention, id: request.attemptId, service: this.#service, isResumable: route.kind === 'stream' && isRetryable(route), stages: this.#stages, services: request.table.declarations.services, isUsable: zone => !context.placement.isEvacuated(zone), free(handles) {
				context.stages.free(handles);
			},
		});
		this.#picker = TargetPicker.create(context, {
			attemptId: request.attemptId, service: this.#service, regions: this.#regions, prompt: head.prompt, bodyBytes: request.body.length, stageResults: () => this.#results.all,
		});
		this.#streamWriter = route.kind === 'stream'
			? StreamWriter.create(res, {
				clock: context.clock, isClosing: context.isClosing, lastEventId: request.head.lastEventId,
			})
			: undefined;
	}

	/**
	 * Resolves when the response has been sent or the caller has disconnected, or with `left` once the request is to be left
	 * to another entry VM: no byte of it could be sent to a target.
	 */
	async run(): Promise<'ended' | 'left'> {
		const {res} = this.request;
		const onClose = () => {
			if (!res.writableFinished) {
				this.#isCallerGone = true;
				this.#abortController.abort();
			}
		};

		const cancelTimeout = this.context.clock.after(this.#timeBudget.deadlineMs - this.context.clock.now(), () => {
			this.#onTimeout();
		});
		res.on('close', onClose);
		const endWatch = this.context.quarantine.watch(() => this.#parts, cause => {
			this.#onQuarantined(cause);
		});
		this.context.retryBudget(this.#service).recordRequest(this.context.clock.now());
		try {
			await this.#serve();
		} finally {
			cancelTimeout();
			endWatch();
			res.off('close', onClose);
			this.#results.release();
			this.#picker.close();
			this.#retry.release();
		}

		return this.#isLeft ? 'left' : 'ended';
	}

	/** Rejects the request if it only waits, for its stages or a place at a target, and could no longer be completed there before the shutdown ends. */
	rejectIfLate(): void {
		if (!this.#isAttempting && !this.#isFinished && !this.#isCallerGone) {
			this.#endIfLate('attempts');
		}
	}

	/** Ends the request with an answer that is true, unless its response has begun. */
	endUnanswered(): void {
		if (!this.request.res.headersSent) {
			this.end();
		}
	}

	/** Ends the request, wherever it is, with an answer that is true. */
	end(): void {
		this.#end('shutting_down');
	}

	async #serve(): Promise<void> {
		// It may have waited behind another one on its connection.
		if (!this.#timeBudget.hasTime(this.context.clock.now())) {
			this.#onTimeout();
			return;
		}

		const cause = this.context.quarantine.causeOf(this.#suspectedParts);
		if (cause) {
			this.#onQuarantined(cause);
			return;
		}

		if (this.#endIfLate('requests')) {
			return;
		}

		// Its stages would run in vain.
		if (this.#picker.lacksAllowed || this.#picker.isHeldBack) {
			this.#reject(this.#picker.rejectionWithoutTarget(false));
			return;
		}

		let inputs = await this.#runStages();
		let failed: FailedAttempt | undefined;
		while (inputs && !this.#abortController.signal.aborted) {
			const target = await this.#acquireTarget();
			if (!target || this.#endIfLate('attempts')) {
				break;
			}

			const isRenewed = failed === undefined || await this.#retry.renew();
			if (this.#isFinished || this.#abortController.signal.aborted) {
				break;
			}

			if (failed && !isRenewed) {
				this.#endFailed(failed, 'no_budget');
				break;
			}

			const outcome = await this.#attempt(target, inputs);
			if (outcome.kind === 'answer') {
				this.#sendResponse(outcome.response);
				return;
			}

			if (outcome.kind === 'streamed') {
				this.#finish({outcome: 'answered', reason: '', status: 200});
				return;
			}

			if (outcome.kind === 'aborted' || !await this.#retryOrFinish(outcome, target)) {
				break;
			}

			failed = outcome;
			// The failed attempt may have consumed the stage results, or they may have expired.
			inputs = this.#needsStages ? await this.#runStages(outcome) : this.#results.reuse();
		}

		if (this.#isCallerGone) {
			this.#finish({outcome: 'left', reason: '', status: 0});
		}
	}

	/** Runs the stages, again after a failed attempt, and returns the handles of their results; `undefined` if the request has ended. */
	async #runStages(failed?: FailedAttempt): Promise<readonly string[] | undefined> {
		if (!this.#hasStages) {
			return [];
		}

		const outcome = await this.#requestStages(this.#abortController.signal);
		if ('results' in outcome) {
			this.#results.set(outcome.results);
			if (this.#isFinished || this.#isCallerGone) {
				this.#results.release();
				return undefined;
			}

			return this.#results.handles;
		}

		if (this.#isFinished || this.#isCallerGone) {
			return undefined;
		}

		if (failed && outcome.failure === 'no_budget') {
			this.#endFailed(failed, 'no_stage_budget');
		} else {
			this.#reject({status: this.#possibleRunCount > 0 ? 502 : 503, reason: outcome.failure === 'no_target' && this.context.placement.isRestricted(this.#regions) ? 'no_allowed_target' : stageRejections[outcome.failure] ?? 'stages_failed', retryAfterMs: outcome.retryAfterMs});
		}

		return undefined;
	}

	async #requestStages(signal: AbortSignal): Promise<StagePlanOutcome> {
		const {context, request} = this;
		const {head, attemptId} = request;
		const {quarantine} = context;
		const startedMs = context.clock.now();
		const isFirst = this.#record.stageRuns === 0;
		const stages = this.#stages;
		if (!isFirst) {
			context.logger.info('Running the stages of a request again.', {
				id: attemptId, cause: this.#streamWriter?.hasHead ? 'resume' : 'retry', run: this.#record.stageRuns + 1, pieces: stages.map(({pieces}) => pieces),
			});
		}

		this.#record.startStages();
		this.#results.beginRun();
		// Stages know nothing of the prompt, so that its parts don't come under suspicion. The listener outlives the request, but not its body.
		const parts = [this.#id];
		const outcome = await context.stages.run({
			onCrash({crash, sentMs, brokenMs}) {
				quarantine.crashed(crash, [{
					parts, progress: 'waiting', sentMs, brokenMs,
				}]);
			},
			attemptId,
			stages,
			// Without the results of all of them, the first run has ended the request.
			sentPieces: isFirst ? undefined : stages.map(({pieces}) => pieces),
			pieceKey: head.pieceKey,
			...(this.#regions ? {regions: this.#regions} : {}),
			zone: this.#picker.choose()?.entry.zone ?? context.zone,
			priority: this.#priority,
			callByMs: this.#timeBudget.latestCallStartMs,
			deadlineMs: this.#timeBudget.stagesDeadlineMs(this.#streamWriter?.lastEventMs),
		}, signal);
		const tookMs = context.clock.now() - startedMs;
		this.#record.recordStages(tookMs);
		context.metrics.recordStages(tookMs);
		return outcome;
	}

	get #hasStages(): boolean {
		return this.#stages.some(({pieces}) => pieces > 0);
	}

	/** Whether the stages have to run before the next attempt. */
	get #needsStages(): boolean {
		return this.#hasStages && this.#results.isEmpty;
	}

	#freeResults(results: readonly StageResult[]): void {
		if (results.length > 0) {
			this.context.stages.free(results.map(result => result.handle));
		}
	}

	async #attempt(target: RelayTarget, inputs: readonly string[]): Promise<AttemptOutcome> {
		const {context, request} = this;
		const {
			clock, codec, pools, memory, turnBudget, prefixCache, probe, metrics,
		} = context;
		const {head, attemptId, body, req, route, team} = request;
		const startedMs = clock.now();
		const mayRetry = this.#sentCount + 1 < route.maxAttempts && isRetryable(route);
		const {prompt} = head;
		this.#picker.addTried(target);
		this.#retry.recordSent();

		const ticket = startPrompt(context, {
			target, prompt, choice: this.#picker.choiceOf(target), isStream: this.#streamWriter !== undefined,
		});
		let hasResponded = false;
		let isSuccess = false;
		let aliveMs: Ms | undefined;
		let recordReply: (() => void) | undefined;
		this.#isAttempting = true;
		this.#record.startAttempt(target, startedMs);
		this.#record.recordChoice(ticket.logFields);
		const outcome = await runAttempt({
			clock,
			pools,
			memory,
			turnBudget,
			codec,
			target,
			mayStart: () => this.#picker.isAllowed(target),
			attemptId,
			sendByMs: this.#picker.sendByMs(target),
			sink: this.#streamWriter,
			signal: this.#abortController.signal,
			probe,
			confirmEnd: async wasRefusing => context.endCheck.isConfirmed(target, {attemptId, wasRefusing, signal: this.#abortController.signal}),
			reserveRetry: async (signal, isSent) => this.#reserveRetry(signal, isSent),
			responseTimeoutMs: this.#timeBudget.responseTimeoutMs(startedMs, mayRetry),
			resumeStreamAfterMs: this.#timeBudget.resumeStreamAfterMs(mayRetry),
			streamEndMs: this.#timeBudget.streamEndMs,
			probeAfterMs: prompt ? this.#timeBudget.probeAfterMs(target.pendingTokens) : undefined,
			request: {
				address: target.entry.address,
				method: req.method!,
				path: req.url!,
				body,
				usesNewConnection: !isRetryable(route),
				headers: codec.encodeTargetHeaders(head, {
					targetId: target.id,
					team: team?.name,
					remainingMs: this.#timeBudget.remainingMs(startedMs, context.shutdown()?.deadlineOfTarget({hasBegun: this.#streamWriter?.hasHead === true})),
					urgency: prompt ? Math.min(9, this.#priority * 2) : undefined,
					inputs,
					lastEventId: this.#lastEventId === undefined ? head.lastEventId : String(this.#lastEventId),
				}),
			},
			onSent() {
				recordReply = context.liveness.begin(target.entry.address);
				aliveMs = context.liveness.latestMs(target.entry.address);
			},
			onProbe: result => {
				this.#record.recordProbe(result);
			},
			onBodyEnd: end => {
				this.#record.recordBodyEnd(end);
			},
			onHead: (targetHead, framing, status) => {
				hasResponded = true;
				isSuccess = status < 300;
				recordReply?.();
				this.#record.recordFraming(framing);
				context.reach.recordReached();
				context.coldTargets.recordReached(target);
				context.brittle.observe(target, {perSecond: targetHead.brittlePerSecond, sentMs: startedMs});
				context.limits.observe(target, {perSecond: targetHead.limitPerSecond, sentMs: startedMs});
				if (status === 503) {
					context.holds.observe(target, targetHead.retryAfterMs);
				}

				if (targetHead.isDraining) {
					context.drainingReports.observe(target);
				}
			},
			onResponseStart: () => {
				this.#record.recordFirstByte(clock.now());
				ticket.recordResponseStart();
				this.#results.startResponse({isStream: isSuccess, mayResume: mayRetry});
				if (prompt) {
					prefixCache.recordRequest(target.id, prompt.parts, clock.now());
				}
			},
			onSlowData({tookMs, bytes}) {
				context.logger.warn('Data of a response took long to handle.', {
					id: attemptId, target: target.id, took_ms: Math.round(tookMs), bytes,
				});
			},
			onAnswered: () => {
				this.#isAnswered = true;
				if (this.#streamWriter) {
					metrics.recordResponseStart();
				}

				ticket.recordFirstEvent();
			},
		});
		this.#isAttempting = false;
		this.#results.endAttempt({isInterrupted: outcome.kind === 'failed' && outcome.response === undefined});
		this.#picker.endAttempt(target, outcome.kind === 'failed' && outcome.failure === 'refused');
		ticket.end();
		this.#record.recordLastEvent(this.#lastEventId);
		this.#record.endAttempt(outcome, clock.now());
		if (outcome.kind === 'answer' || outcome.kind === 'streamed' || (outcome.kind === 'aborted' && clock.now() >= this.#timeBudget.deadlineMs)) {
			context.durations.attempts.record(route.name, {tookMs: clock.now() - startedMs, size: this.#size}, clock.now());
		}

		this.#recordPace(outcome, startedMs);
		if (!hasResponded) {
			this.#recordNoResponse(target, outcome);
		}

		metrics.recordAttempt(outcome.kind === 'failed' ? outcome.failure : outcome.kind);
		// A part of an answer proves nothing: what crashes targets may do so at any event.
		if ((outcome.kind === 'streamed' && outcome.hasEvents) || (outcome.kind === 'answer' && outcome.response.status < 300)) {
			context.quarantine.answered(this.#suspectedParts);
		} else if (outcome.kind === 'failed' && (outcome.failure === 'broken' || outcome.failure === 'silent') && !outcome.response) {
			context.crashWatch.attemptBroken(target, {
				attemptId, parts: this.#parts, progress: this.#streamWriter ? brokenProgress[outcome.progress] : 'waiting', sentMs: startedMs, brokenMs: clock.now(), aliveMs,
			});
		}

		return outcome;
	}

	#recordPace({kind}: AttemptOutcome, startedMs: Ms): void {
		const now = this.context.clock.now();
		if (kind === 'answer' || kind === 'streamed') {
			this.context.servicePace.recordAnswer(this.#service, now - startedMs, now);
		}
	}

	/** Records a target that may be out of reach: the attempt ended without its response, and not because the caller left. */
	#recordNoResponse(target: RelayTarget, outcome: AttemptOutcome): void {
		const isOverdue = outcome.kind === 'aborted' && this.context.clock.now() >= this.#timeBudget.deadlineMs;
		if (isOverdue || (outcome.kind === 'failed' && outcome.failure !== 'refused' && outcome.failure !== 'withdrawn')) {
			// A request that may run once has a connection of its own.
			const hasOwnConnection = !isRetryable(this.request.route);
			const isUnsent = outcome.kind === 'failed' && outcome.failure === 'unsent';
			this.context.reach.recordFailed(target.id, isUnsent || hasOwnConnection ? 'connection' : 'response');
			if (isUnsent) {
				this.context.coldTargets.recordFailed(target, 'refused');
			}
		}
	}

	/** Handles a failed attempt; returns true if the request is retried, else ends it with a response. */
	async #retryOrFinish(outcome: FailedAttempt, target: RelayTarget): Promise<boolean> {
		const {context, request} = this;
		const {failure} = outcome;
		if (failure === 'unsent') {
			this.#unsentCount++;
		} else if (failure === 'withdrawn') {
			this.#picker.removeTried(target);
		}

		if (!isNotSent(failure)) {
			this.#sentCount++;
		}

		if (!isNotSent(failure) && failure !== 'refused') {
			this.#possibleRunCount++;
		}

		if (failure === 'error') {
			this.#errorResponse = outcome.response;
		}

		if (outcome.response?.status === inputGoneStatus) {
			this.#results.release();
		}

		// What decides is judged anew after the others were asked for a part of the retry.
		if (!this.#reservedTarget && this.#sentCount > 0 && !isNotSent(failure) && !findRetryDenial(this.#stateAfter(failure))) {
			await this.#retry.prepare();
			if (this.#isFinished || this.#abortController.signal.aborted) {
				return false;
			}
		}

		const now = context.clock.now();
		const decision: RetryDecision = this.#reservedTarget ? {step: 'retry'} : decideRetry({...this.#stateAfter(failure), spendRetry: () => this.#reserveBudget()});
		if (decision.step === 'retry') {
			context.logger.info('Retrying a request on another target.', {
				id: request.attemptId, service: this.#service, after: failure, reason: outcome.reason, left_ms: Math.round(this.#timeBudget.deadlineMs - now),
			});
			return true;
		}

		if (await this.#isForPeer()) {
			this.#isLeft = true;
			this.#isFinished = true;
			context.logger.info('Leaving a request to another entry VM.', {
				id: request.attemptId, ...this.#record.logFields({outcome: 'rejected', reason: 'left_to_peer', status: 0}, context.clock.now()),
			});
		} else if (!this.#isFinished && !this.#isCallerGone) {
			this.#endAfter(outcome, decision);
		}

		return false;
	}

	/** Resolves with whether another entry VM has to serve the request: no byte of it has reached a target, and this one is cut off from all. */
	async #isForPeer(): Promise<boolean> {
		const {context, request: {head, res}} = this;
		if (head.isForwarded || this.#unsentCount === 0 || this.#sentCount > 0 || this.#possibleRunCount > 0 || res.headersSent) {
			return false;
		}

		const remainingMs = this.#timeBudget.remainingMs(context.clock.now());
		const isCutOff = await context.reach.confirmCutOff(Math.min(maxCutCheckMs, remainingMs * cutCheckShare), this.#abortController.signal);
		return isCutOff && !this.#isFinished && !this.#abortController.signal.aborted;
	}

	/** Ends the request, since there is no attempt after one that has failed. */
	#endFailed(failed: FailedAttempt, denial: RetryDenial): void {
		this.#endAfter(failed, decideEnd({failure: failed.failure, possibleRunCount: this.#possibleRunCount}, denial));
	}

	#endAfter(failed: FailedAttempt, end: RetryEnd): void {
		this.#record.recordRetryDenial(end.denial);
		if (this.#streamWriter?.hasHead) {
			this.#abortStream(failed.reason);
		} else if (this.#errorResponse && end.step === 'deliver_error') {
			this.#sendResponse(this.#errorResponse);
		} else {
			this.#reject(this.#rejectionAfter(end));
		}
	}

	#rejectionAfter(end: RetryEnd): Rejection {
		if (end.step !== 'reject') {
			return {status: 502, reason: 'target_failed'};
		}

		return end.denial === 'no_target' && end.rejection.status === 503 && (this.#picker.lacksAllowed || this.#picker.isHeldBack) ? this.#picker.rejectionWithoutTarget(false) : this.#withReturn(end.rejection);
	}

	/** Gives a request that full targets have refused a time to return by their pace. */
	#withReturn(rejection: Rejection): Rejection {
		const now = this.context.clock.now();
		return rejection.reason === 'target_refused'
			? {...rejection, retryAfterMs: this.context.servicePace.retryAfterMs(this.#service, this.#timeBudget.remainingMs(now), now)}
			: rejection;
	}

	/** State of the request after an attempt that has ended, or that would end, with a failure. */
	#stateAfter(failure: AttemptFailure): Omit<FailedAttemptState, 'spendRetry'> {
		const {route} = this.request;
		const now = this.context.clock.now();
		return {
			failure,
			kind: route.kind,
			isResumable: route.isResumable,
			sentCount: this.#sentCount,
			possibleRunCount: this.#possibleRunCount,
			maxAttempts: route.maxAttempts,
			isQuarantined: this.context.quarantine.causeOf(this.#suspectedParts) !== undefined,
			hasUntriedTarget: this.#picker.hasChoice() && this.#unsentCount <= maxUnsentRetries,
			hasTime: this.#timeBudget.hasTime(now) && !this.#isLate('attempts', now),
		};
	}

	/** Makes another attempt certain, so that the one in progress may be given up. */
	async #reserveRetry(signal: AbortSignal, isSent: boolean): Promise<boolean> {
		const denial = this.#findReservationDenial(isSent) ?? await this.#prepareRetry(signal, isSent);
		this.#record.recordRetryDenial(denial);
		return this.#reservedTarget !== undefined;
	}

	/** Returns why the attempt in progress cannot be replaced by another one now; `undefined` if it can be. */
	#findReservationDenial(isSent: boolean): RetryDenial | undefined {
		const state = this.#stateAfter(isSent ? 'silent' : 'withdrawn');
		const sent = isSent ? 1 : 0;
		const denial = findRetryDenial({...state, sentCount: state.sentCount + sent, possibleRunCount: state.possibleRunCount + sent});
		if (denial) {
			return denial;
		}

		if (!this.#picker.hasChoice({isReachable: true})) {
			return 'unreachable';
		}

		if (isSent && !this.#retry.isPossible) {
			return 'no_budget';
		}

		return this.#needsStages && this.#hasFailedInputs ? 'no_inputs' : undefined;
	}

	/**
	 * Reserves inputs, a target with a place and a retry. The retry is spent last, and only if the attempt in progress is
	 * still to be given up. Returns why there is no other attempt; `undefined` if there is one, or none is needed any more.
	 */
	async #prepareRetry(signal: AbortSignal, isSent: boolean): Promise<RetryDenial | undefined> {
		const prepared = this.#needsStages ? await this.#prepareStages(signal) : {results: []};
		const newResults = 'results' in prepared ? prepared.results : [];
		const target = 'results' in prepared && !signal.aborted ? await this.#picker.reservePlace({isProbed: true}) : undefined;
		if (target && isSent && !signal.aborted) {
			await this.#retry.prepare();
		}

		if (signal.aborted) {
			this.#releasePrepared(target, newResults);
			return undefined;
		}

		if (!('results' in prepared)) {
			return prepared.denial;
		}

		// Retained results may have been freed while the target was reserved.
		const targetDenial = target && this.#picker.isAllowed(target) ? this.#findReservationDenial(isSent) : 'no_place';
		const denial = newResults.length === 0 && this.#needsStages ? 'no_inputs' : targetDenial;
		if (denial !== undefined || (isSent && !this.#reserveBudget())) {
			this.#releasePrepared(target, newResults);
			return denial ?? 'no_budget';
		}

		this.#reservedTarget = target;
		if (newResults.length > 0) {
			this.#results.set(newResults);
		}

		return undefined;
	}

	/** Releases what was prepared for an attempt that is not made: the one in progress may go on for long. */
	#releasePrepared(target: RelayTarget | undefined, results: readonly StageResult[]): void {
		this.#freeResults(results);
		if (target) {
			this.#picker.endAttempt(target, false);
		}
	}

	/** Reserves a retry in the budget for the next attempt. */
	#reserveBudget(): boolean {
		return this.#retry.reserve();
	}

	/** Runs the stages again while the attempt in progress goes on. */
	async #prepareStages(signal: AbortSignal): Promise<{readonly results: readonly StageResult[]} | {readonly denial: RetryDenial}> {
		const outcome = await this.#requestStages(signal);
		if ('results' in outcome) {
			return outcome;
		}

		// Stages that are late or find no room once are not run again and again for a target that may go on.
		this.#hasFailedInputs ||= !signal.aborted;
		return {denial: outcome.failure === 'no_budget' ? 'no_stage_budget' : 'no_inputs'};
	}

	/** Chooses a target and waits for a place there if it names a limit, or for a permit if it is cold; rejects the request if there is none in time. */
	async #acquireTarget(): Promise<RelayTarget | undefined> {
		const {clock} = this.context;
		const reserved = this.#reservedTarget;
		this.#reservedTarget = undefined;
		const isReserved = reserved !== undefined && this.#picker.mayBeSentTo(reserved);
		if (reserved && !isReserved) {
			this.#picker.endAttempt(reserved, false);
		}

		if (!isReserved && this.#picker.lacksRoom) {
			await this.#picker.waitForRoom(this.#timeBudget.roomDeadlineMs(clock.now()), this.#abortController.signal);
			if (this.#abortController.signal.aborted) {
				return undefined;
			}
		}

		const target = isReserved ? reserved : await this.#picker.reservePlace();
		if (target) {
			return target;
		}

		if (this.#picker.lacksRoom) {
			this.#reject({status: this.#possibleRunCount > 0 ? 502 : 503, reason: 'engines_full', retryAfterMs: enginesFullRetryAfterMs});
			return undefined;
		}

		const limitedTarget = this.#picker.firstFree();
		if (!limitedTarget) {
			this.#reject(this.#picker.rejectionWithoutTarget(this.#possibleRunCount > 0));
			return undefined;
		}

		const reservation = await this.#picker.reserve(limitedTarget, Math.max(0, this.#timeBudget.stagesDeadlineMs(this.#streamWriter?.lastEventMs) - clock.now()));
		if ('waitMs' in reservation) {
			await clock.sleep(reservation.waitMs, this.#abortController.signal);
			if (this.#abortController.signal.aborted) {
				return undefined;
			}

			// The target may have started to drain, become cold, or taken other prompts, meanwhile.
			if (this.#picker.mayBeSentTo(limitedTarget)) {
				return limitedTarget;
			}

			this.#picker.endAttempt(limitedTarget, false);
			return this.#acquireTarget();
		}

		this.#reject(this.#picker.rejectionWithoutPlace(limitedTarget, {mayHaveRun: this.#possibleRunCount > 0, retryAfterMs: reservation.retryAfterMs, remainingMs: this.#timeBudget.remainingMs(clock.now())}));
		return undefined;
	}

	/** Prompt parts that other requests may share, and the id of this request. */
	get #parts(): readonly string[] {
		return [...this.#sharedParts, this.#id];
	}

	/** Id that the request shares with its repeats. */
	get #id(): string {
		const {req, team, body} = this.request;
		this.#requestId ??= requestId({
			method: req.method!, path: req.url!, caller: team?.name, body,
		});
		return this.#requestId;
	}

	/** The parts that make a difference to the quarantine; without suspicions, the body is not hashed. */
	get #suspectedParts(): readonly string[] {
		return this.context.quarantine.hasSuspicions ? this.#parts : this.#sharedParts;
	}

	/** Id of the last event of the stream that the caller got here. */
	get #lastEventId(): number | undefined {
		return this.#streamWriter?.lastEventId;
	}

	/** What the duration of the request grows with: the tokens that an engine may generate. */
	get #size(): number {
		return this.request.head.prompt?.maxOutputTokens ?? 1;
	}

	get #priority(): number {
		return this.request.team?.priority ?? this.request.route.priority;
	}

	#sendResponse(response: TargetResponse): void {
		const {res} = this.request;
		if (this.#isFinished) {
			return;
		}

		if (res.destroyed) {
			this.#finish({outcome: 'left', reason: '', status: 0});
			return;
		}

		if (res.headersSent) {
			this.#abortStream(`response with status ${response.status} after the head of the stream`);
			return;
		}

		// The body stays in memory until the caller has read it.
		const lease = this.context.memory.deliver(response.body.length, () => {
			res.socket?.resetAndDestroy();
		}, () => unsentBytes(res));
		res.once('close', () => {
			lease.release();
		});
		writeResponseHead(res, response, {isClosing: this.context.isClosing(), bytes: response.body.length});
		res.end(response.body);
		this.#finish({outcome: 'answered', reason: '', status: response.status});
	}

	#reject(rejection: Rejection): void {
		const {res} = this.request;
		if (this.#isFinished || this.#isCallerGone) {
			return;
		}

		if (res.headersSent) {
			this.#abortStream(rejection.reason);
			return;
		}

		sendRejection(res, rejection, this.context.isClosing());
		this.#finish({outcome: 'rejected', reason: rejection.reason, status: rejection.status});
	}

	/** Resets the connection of a started stream, so that the caller detects that it is incomplete. */
	#abortStream(reason: string): void {
		if (!this.#isFinished) {
			this.#finish({outcome: 'broken_off', reason, status: 200});
			this.#streamWriter?.abort();
		}
	}

	/**
	 * Ends a request that crashes targets. A stream that has begun is left to its target, which runs it already: to end it
	 * would cost a sound one its answer.
	 */
	#onQuarantined(cause: QuarantineCause): void {
		if (!this.#isAnswered && !this.#streamWriter?.hasHead) {
			this.#end(cause === 'prompt' ? 'prompt_quarantined' : 'request_quarantined', quarantineRetryAfterMs);
		}
	}

	/** Ends the request if it could not be completed before the shutdown ends, and returns whether it has ended. */
	#endIfLate(durations: keyof RelayContext['durations']): boolean {
		const {context, request} = this;
		const now = context.clock.now();
		if (!this.#isLate(durations, now)) {
			return false;
		}

		context.logger.info('Ended a request that could not be completed before the end of the shutdown.', {
			id: request.attemptId, from: durations, time_ms: Math.round(this.#timeBudget.deadlineMs - now), left_ms: Math.round(context.shutdown()!.deadlineOfTarget({hasBegun: this.#streamWriter?.hasHead === true}) - now), recent: context.durations[durations].estimate(request.route.name, this.#size, now),
		});
		this.#end('shutting_down');
		return true;
	}

	/** Whether the request could not be completed before the shutdown ends, given recent requests from arrival or recent attempts. */
	#isLate(durations: keyof RelayContext['durations'], now: Ms): boolean {
		const schedule = this.context.shutdown();
		if (!schedule) {
			return false;
		}

		if (this.#streamWriter?.hasHead) {
			return !schedule.canGoOn(now);
		}

		const {route} = this.request;
		return !schedule.canComplete({route, deadlineMs: this.#timeBudget.deadlineMs, estimate: this.context.durations[durations].estimate(route.name, this.#size, now)}, now);
	}

	/** Ends the request without the response of a target; "not run" is told only if no target can have run it. */
	#end(reason: RejectionReason, retryAfterMs: Ms = 0): void {
		if (this.#isFinished || this.#isCallerGone) {
			return;
		}

		// An attempt in progress may have started to run.
		const mayHaveRun = this.#possibleRunCount > 0 || this.#isAttempting;
		this.#reject(mayHaveRun ? {status: 502, reason} : {status: 503, reason, retryAfterMs});
		this.#abortController.abort();
	}

	/** Ends the request at its deadline. */
	#onTimeout(): void {
		if (this.#isFinished || this.#isCallerGone) {
			return;
		}

		if (this.#streamWriter?.hasHead) {
			this.#abortStream('deadline exceeded');
		} else if (this.#record.attemptCount === 0 && !this.#picker.hasTried) {
			this.#reject({status: 503, reason: 'timeout', retryAfterMs: 0});
		} else {
			this.#reject({status: 504, reason: 'timeout'});
		}

		this.#abortController.abort();
	}

	#finish(result: RequestResult): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		const {request, context} = this;
		const now = context.clock.now();
		if (result.outcome === 'answered' || result.reason === 'timeout') {
			context.durations.requests.record(request.route.name, {tookMs: now - request.arrivedMs, size: this.#size}, now);
		}

		context.metrics.recordRequest({
			outcome: result.outcome, reason: result.outcome === 'rejected' ? result.reason : '', tookMs: now - request.arrivedMs, firstByteMs: this.#record.firstByteMs,
		});
		context.logger.info('Ended a request.', {
			id: request.attemptId,
			route: request.route.name,
			service: this.#service,
			team: request.team?.name,
			...(request.head.isForwarded ? {from_peer: true} : {}),
			config: request.table.version,
			targets_age_ms: Math.round(context.targetsAgeMs()),
			time_ms: Math.round(this.#timeBudget.deadlineMs - request.arrivedMs),
			...(this.#streamWriter ? {events: this.#streamWriter.eventCount} : {}),
			...this.#record.logFields(result, now),
		});
	}
}
