import type {Buffer} from 'node:buffer';
import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import {GrowingBuffer} from '../http/index.js';
import type {CallOutcome, RelayTarget} from '../registry/index.js';
import type {
	BodyEnd, BodyFraming, KnownBodyEnd, WholeBodyEnd,
} from './body-framing.js';
import {EventSplitter, type ServerSentEvent} from './event-splitter.js';
import type {AttemptFailure} from './decide-retry.js';
import {judgeSilence, type SilenceLimits} from './judge-silence.js';
import type {HttpHeaders, RelayCodec, TargetHead} from './relay-codec.js';
import {startExchange, type Exchange, type ExchangeRequest} from './target-exchange.js';
import type {MemoryLease, ResponseMemory} from './response-memory.js';
import type {TargetPools} from './target-pools.js';
import type {TurnBudget} from './turn-budget.js';
import {watchUnsent} from './watch-unsent.js';

/** Time without an event in a stream after which the target is probed, as events normally arrive every few ms to tens of ms; doubles with each further probe. */
const streamSilenceMs: Ms = 350;
/** Maximum size of a response that is buffered in memory. */
const maxResponseBytes = 8 * 1024 * 1024;
/** Maximum size of one event of a stream; bytes without an end of an event are no response. */
const maxEventBytes = 1024 * 1024;
/** Work for one chunk besides that for its bytes, and work from which the reading may be deferred: smaller responses never wait for larger ones. */
const chunkUnits = 64;
const minDeferredUnits = 32 * 1024;
/** Time to handle one chunk of a response from which it is reported. */
const slowDataMs: Ms = 50;
const eventStreamType = 'text/event-stream';
/** Statuses that would wrongly promise the caller that the request did not run if they came from a target that ran it. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A complete response of a target. */
export interface TargetResponse {
	readonly status: number;
	readonly head: TargetHead;
	readonly body: Buffer;
	readonly framing: BodyFraming;
}

/** Receives the events of a stream as they arrive. */
export interface StreamSink {
	/** Whether an earlier attempt has written the head of the stream. */
	readonly hasHead: boolean;
	/** Id of the last event that the caller has; `undefined` without one. */
	readonly lastEventId: number | undefined;
	/** Bytes that the caller has not read yet. */
	readonly pendingBytes: number;
	/** Whether a response can go on with the stream. */
	accepts(response: Pick<TargetResponse, 'status' | 'head'>): boolean;
	/** Called once per attempt, before its first event. */
	writeHead(response: Pick<TargetResponse, 'status' | 'head' | 'framing'>, flowControl: Pick<Exchange, 'pause' | 'resume'>): void;
	/** Writes those of the events that the caller does not have yet, and returns their number. */
	writeEvents(events: readonly ServerSentEvent[]): number;
	/** Records that a part was broken off before its end, in an event whose id may be known, or before one. */
	recordMore(partialId?: number): void;
	/**
	 * Ends the stream with the bytes after its last complete event, unless that would claim more than is known: returns why
	 * the part that ended is not the end of the stream then.
	 */
	end(remainder: Buffer, end: KnownBodyEnd): string | undefined;
}

/** How far the response to an attempt had got: nothing, its headers, or a whole response or event of a stream. */
export type ResponseProgress = 'none' | 'begun' | 'answered';

/** How an attempt ended. */
export type AttemptOutcome =
	| {readonly kind: 'answer'; readonly response: TargetResponse}
	/** `hasEvents` is false if the target had nothing to add to the events of earlier attempts. */
	| {readonly kind: 'streamed'; readonly hasEvents: boolean}
	| {readonly kind: 'aborted'}
	| {readonly kind: 'failed'; readonly failure: AttemptFailure; readonly reason: string; readonly progress: ResponseProgress; readonly response?: TargetResponse};

/**
 * How a target responds to a probe; `gone` if new connections are refused. Open connections may still live, as in a
 * partition in which only new ones are refused. `withheld` if the target may not be probed, so that nothing is known.
 */
export type ProbeResult = 'alive' | 'silent' | 'gone' | 'withheld';

/** Options of one attempt at one target. */
export interface TargetAttemptOptions {
	readonly clock: Clock;
	readonly pools: TargetPools;
	readonly memory: ResponseMemory;
	readonly turnBudget: TurnBudget;
	readonly codec: RelayCodec;
	readonly target: RelayTarget;
	/** Whether the target may take the request, just before it is sent. */
	readonly mayStart: () => boolean;
	readonly attemptId: string;
	readonly request: ExchangeRequest;
	/** Time by which the request must be sent; after it, an attempt that waits for a connection is withdrawn. */
	readonly sendByMs?: Ms | undefined;
	/** Receives a streamed response; `undefined` if the route is not a stream. */
	readonly sink: StreamSink | undefined;
	/** Time without response data after which another target takes over, if another attempt is certain. */
	readonly responseTimeoutMs: Ms;
	/** Time without a complete event after which a stream goes on at another target, if another attempt is certain. */
	readonly resumeStreamAfterMs: Ms;
	/** Time without a complete event after which a stream ends. */
	readonly streamEndMs: Ms;
	/** Time without response data after which the target is probed; `undefined` for never. */
	readonly probeAfterMs: Ms | undefined;
	/** Resolves with how the target responds on a separate connection. */
	readonly probe: (target: RelayTarget) => Promise<ProbeResult>;
	/** Resolves with whether the orderly end of a connection without a declared end is that of a response, and not that of its target, which may have refused connections while it sent it. */
	readonly confirmEnd: (wasRefusing: boolean) => Promise<boolean>;
	/**
	 * Makes another attempt certain and resolves to true, or to false if there is none for now. The work of a target that is
	 * silent is given up only after that. Aborted when the target makes progress or the attempt ends meanwhile. Unless
	 * `isSent`, the attempt still waits for a connection, so that another one is no retry.
	 */
	readonly reserveRetry: (signal: AbortSignal, isSent: boolean) => Promise<boolean>;
	/** Aborted when the caller disconnects or the deadline has passed. */
	readonly signal: AbortSignal;
	/** Called once the request has a connection. */
	readonly onSent?: () => void;
	/** Called with the result of each probe that ends during the attempt. */
	readonly onProbe?: (result: ProbeResult) => void;
	/** Called with the headers of each response that belongs to the attempt. */
	readonly onHead?: (head: TargetHead, framing: BodyFraming, status: number) => void;
	/** Called when the body of the response ends, unless the attempt is given up before. */
	readonly onBodyEnd?: (end: BodyEnd) => void;
	/** Called when the headers of a response arrive, unless the target refused the request. */
	readonly onResponseStart?: () => void;
	/** Called when data of the response has taken long to handle, so that nothing else was served meanwhile. */
	readonly onSlowData?: (data: {readonly tookMs: Ms; readonly bytes: number}) => void;
	/** Called when the first whole event, or a whole response that is no error, has arrived. */
	readonly onAnswered?: () => void;
}

/**
 * Sends a request to one target and buffers or streams its response. A response is accepted only if it is complete and
 * belongs to this attempt. A target that sends no data is probed over another connection.
 *
 * @example
 * const outcome = await runAttempt({target, request, …});
 */
export async function runAttempt(options: TargetAttemptOptions): Promise<AttemptOutcome> {
	return new Promise(resolve => {
		new TargetAttempt(options, resolve).start();
	});
}

class TargetAttempt {
	readonly #startedMs: Ms;
	readonly #splitter = EventSplitter.create();
	readonly #body = GrowingBuffer.create();
	readonly #memory: MemoryLease;
	#exchange: Exchange | undefined;
	#status = 0;
	#head: TargetHead | undefined;
	#progress: ResponseProgress = 'none';
	#isStream = false;
	/** Whether the response goes on with the stream of an earlier attempt. */
	#isResumed = false;
	#framing: BodyFraming = 'length';
	/** Whether the body has ended, so that none of its bytes are missing. */
	#isBodyWhole = false;
	#isFinished = false;
	/** Whether reading waits for the caller, so that silence tells nothing about the target. */
	#isPaused = false;
	/** Whether reading waits for a later turn of the event loop. */
	#isDeferred = false;
	/** Work done for data since the reading was last deferred. */
	#unitsInTurn = 0;
	/** Time of the last data, or of the last complete event of a stream: single bytes of an event are no progress. */
	#lastProgressMs: Ms;
	#cancelSilenceCheck: CancelTimer = () => undefined;
	#endUnsentWatch: () => void = () => undefined;
	/** Whether a probe has failed since the last progress, so that the target counts as unreachable already. */
	#isUnreachable = false;
	/** Whether a probe was refused, and whether data has arrived after that. */
	#isRefusing = false;
	#wasRefusing = false;
	/** Set while another attempt is being made certain. */
	#reservation: AbortController | undefined;

	constructor(private readonly options: TargetAttemptOptions, private readonly resolve: (outcome: AttemptOutcome) => void) {
		this.#startedMs = options.clock.now();
		this.#lastProgressMs = this.#startedMs;
		this.#memory = options.memory.lease(() => {
			this.#abort('broken', 'the memory for responses is used up');
		});
	}

	start(): void {
		const {target, signal, pools, request} = this.options;
		if (signal.aborted) {
			this.#memory.release();
			this.resolve({kind: 'aborted'});
			return;
		}

		target.inFlight++;
		if (!this.options.mayStart()) {
			this.#withdraw();
			return;
		}

		this.#endUnsentWatch = watchUnsent(this.options, () => {
			this.#withdraw();
		});
		signal.addEventListener('abort', this.#onAbort, {once: true});
		this.#scheduleSilenceCheck();
		this.#exchange = startExchange(pools, request, {
			onStart: () => {
				this.#endUnsentWatch();
				this.options.onSent?.();
				this.#recordProgress();
			},
			onHead: (status, headers, framing) => {
				this.#onHead(status, headers, framing);
			},
			onData: chunk => {
				this.#onData(chunk);
			},
			onEnd: end => {
				this.options.onBodyEnd?.(end);
				this.#onBodyEnd(end);
			},
			onError: (err, isSent, end) => {
				this.options.onBodyEnd?.(end);
				this.#fail(isSent ? 'broken' : 'unsent', errorMessage(err));
			},
		});
	}

	readonly #onAbort = () => {
		this.#exchange?.abort('caller disconnected or deadline exceeded');
		this.#finish({kind: 'aborted'});
	};

	#onHead(status: number, headers: HttpHeaders, framing: BodyFraming): void {
		const {codec, attemptId, sink, onResponseStart} = this.options;
		const head = codec.decodeTargetHead(headers);
		this.#recordProgress();
		if (head.attemptId !== attemptId) {
			this.#abort('broken', `response belongs to attempt ${head.attemptId ?? 'unknown'}`);
			return;
		}

		if (!head.isSigned && !head.isNotRun) {
			this.#abort('broken', `response with status ${status} is not signed`);
			return;
		}

		this.options.onHead?.(head, framing, status);
		const isStream = sink !== undefined && status < 300 && !head.isNotRun;
		if (isStream && !sink.accepts({status, head})) {
			this.#abort('broken', `response with status ${status} and type '${head.mediaType}' does not go on with the stream`);
			return;
		}

		this.#isResumed = isStream && sink.hasHead;
		this.#status = status;
		this.#framing = framing;
		this.#head = head;
		this.#progress = 'begun';
		if (!head.isNotRun) {
			onResponseStart?.();
		}

		if (isStream) {
			this.#isStream = true;
			sink.writeHead({status, head, framing}, {
				pause: () => {
					this.#isPaused = true;
					this.#exchange!.pause();
				},
				resume: () => {
					this.#isPaused = false;
					this.#recordProgress();
					this.#resume();
				},
			});
			this.#scheduleSilenceCheck();
		}
	}

	#onData(chunk: Buffer): void {
		const {clock, onSlowData, turnBudget, sink} = this.options;
		turnBudget.begin();
		const startedMs = clock.now();
		this.#handleData(chunk);
		if (this.#isFinished) {
			return;
		}

		this.#memory.set(this.#isStream ? this.#splitter.heldBytes + sink!.pendingBytes : this.#body.capacity);
		const tookMs = clock.now() - startedMs;
		if (tookMs >= slowDataMs) {
			onSlowData?.({tookMs, bytes: chunk.length});
		}

		this.#unitsInTurn += chunk.length + chunkUnits;
		if (!this.#isDeferred && this.#unitsInTurn >= minDeferredUnits && turnBudget.isUsedUp()) {
			this.#isDeferred = true;
			this.#unitsInTurn = 0;
			this.#exchange!.pause();
			turnBudget.onLaterTurn(() => {
				this.#isDeferred = false;
				this.#resume();
			});
		}
	}

	/** Reads on, unless something else still holds up the reading. */
	#resume(): void {
		if (!this.#isPaused && !this.#isDeferred && !this.#isFinished) {
			this.#exchange!.resume();
		}
	}

	#handleData(chunk: Buffer): void {
		this.#wasRefusing ||= this.#isRefusing;
		if (this.#isStream) {
			this.#onStreamData(chunk);
			return;
		}

		this.#recordProgress();
		if (this.#body.length + chunk.length > maxResponseBytes) {
			this.#abort('broken', `response exceeds ${maxResponseBytes} bytes`);
			return;
		}

		this.#body.append(chunk);
	}

	#onStreamData(chunk: Buffer): void {
		const events = this.#splitter.push(chunk);
		// Events that the caller has already are no progress: a target may send them without end.
		if (events.length > 0 && this.options.sink!.writeEvents(events) > 0) {
			this.#recordProgress();
			this.#recordAnswer();
		}

		if (this.#splitter.remainderLength > maxEventBytes) {
			this.#abort('broken', `an event exceeds ${maxEventBytes} bytes`);
		}
	}

	#onBodyEnd(end: WholeBodyEnd): void {
		this.#isBodyWhole = true;
		if (this.#isStream) {
			// Without a length or chunks, the end of the connection does not tell a complete stream from one that was broken off.
			const isCutOff = this.#splitter.isInsideEvent && (end === 'connection_end' || this.#isResumed || this.#head!.mediaType === eventStreamType);
			// A stream that goes on may have no event left.
			const isEmpty = end === 'connection_end' && this.#progress !== 'answered' && this.options.sink!.lastEventId === undefined;
			if (isCutOff || isEmpty) {
				this.#fail('broken', 'response ended before an event of the stream was complete');
				return;
			}
		}

		if (end === 'connection_end') {
			void this.#confirmEnd();
		} else {
			this.#onEnd(end);
		}
	}

	/** Ends the attempt once it is known whether the target has ended its response, or died. */
	async #confirmEnd(): Promise<void> {
		// The target has nothing left to send.
		this.#cancelSilenceCheck();
		const isConfirmed = this.#head!.isNotRun || await this.options.confirmEnd(this.#wasRefusing);
		if (this.#isFinished) {
			return;
		}

		if (isConfirmed) {
			this.options.onBodyEnd?.('confirmed_end');
			this.#onEnd('confirmed_end');
		} else {
			this.#fail('broken', 'the end of the response was not declared, and its target may have died of it');
		}
	}

	#onEnd(end: KnownBodyEnd): void {
		if (this.#isStream) {
			const denial = this.options.sink!.end(this.#splitter.remainder, end);
			if (denial !== undefined) {
				this.#fail('broken', denial);
				return;
			}

			this.#recordOutcome('ok');
			this.#finish({kind: 'streamed', hasEvents: this.#progress === 'answered'});
			return;
		}

		const response: TargetResponse = {
			status: this.#status, head: this.#head!, body: this.#body.bytes, framing: this.#framing,
		};
		if (response.head.isNotRun) {
			this.options.target.recordCall('busy', this.options.clock.now(), 0);
			this.#finish({
				kind: 'failed', failure: 'refused', reason: `target refused with status ${response.status}`, progress: 'answered', response,
			});
			return;
		}

		if (response.status < 300) {
			this.#recordAnswer();
		}

		// The caller has the head of a stream, into which no other response fits.
		if (this.options.sink?.hasHead) {
			this.#recordOutcome('failed');
			this.#finish({
				kind: 'failed', failure: 'error', reason: `target did not go on with the stream but responded with status ${response.status}`, progress: 'answered', response,
			});
			return;
		}

		if (response.status >= 500 || notRunStatuses.has(response.status)) {
			// A target that asks for no requests for a time has not failed, although it may have run the request.
			this.#recordOutcome(response.status === 503 && response.head.retryAfterMs !== undefined ? 'busy' : 'failed');
			this.#finish({
				kind: 'failed', failure: notRunStatuses.has(response.status) ? 'broken' : 'error', reason: `target failed with status ${response.status}`, progress: 'answered', response,
			});
		} else {
			this.#recordOutcome('ok');
			this.#finish({kind: 'answer', response});
		}
	}

	#recordAnswer(): void {
		if (this.#progress !== 'answered') {
			this.#progress = 'answered';
			this.options.onAnswered?.();
		}
	}

	#recordProgress(): void {
		this.#lastProgressMs = this.options.clock.now();
		this.#isUnreachable = false;
		this.#reservation?.abort();
	}

	get #silenceLimits(): SilenceLimits {
		const {probeAfterMs, responseTimeoutMs, resumeStreamAfterMs, streamEndMs} = this.options;
		return this.#isStream
			? {probeAfterMs: streamSilenceMs, replaceAfterMs: resumeStreamAfterMs, endAfterMs: streamEndMs}
			: {probeAfterMs, replaceAfterMs: responseTimeoutMs, endAfterMs: Infinity};
	}

	/** Schedules the next check of the target's silence; replaces the one scheduled before. */
	#scheduleSilenceCheck(nextMs = judgeSilence(0, this.#silenceLimits).nextMs): void {
		const {clock} = this.options;
		this.#cancelSilenceCheck();
		this.#cancelSilenceCheck = clock.after(Math.max(1, this.#lastProgressMs + nextMs - clock.now()), () => {
			this.#checkSilence();
		});
	}

	#checkSilence(): void {
		if (this.#isPaused) {
			this.#recordProgress();
		}

		const now = this.options.clock.now();
		const silentMs = now - this.#lastProgressMs;
		const {step, nextMs} = judgeSilence(silentMs, this.#silenceLimits);
		const reason = `no ${this.#isStream ? 'event' : 'data'} for ${Math.round(silentMs)} ms`;
		if (step === 'end') {
			this.#leave(reason);
			return;
		}

		this.#scheduleSilenceCheck(nextMs);
		if (step === 'probe') {
			void this.#probe(now);
		} else if (step === 'replace') {
			void this.#replace(reason);
		}
	}

	async #probe(probeStartedMs: Ms): Promise<void> {
		const {probe, target, onProbe} = this.options;
		const result = await probe(target);
		if (this.#isFinished) {
			return;
		}

		onProbe?.(result);
		this.#isRefusing = result === 'gone';
		if (result !== 'alive' && result !== 'withheld' && !this.#isPaused && this.#lastProgressMs <= probeStartedMs) {
			this.#isUnreachable = true;
			this.#recordOutcome('unreachable');
			await this.#replace(result === 'gone' ? 'target refused a probe' : 'target did not respond to a probe');
		}
	}

	/** Leaves a silent target as soon as another attempt is certain, unless it makes progress until then. */
	async #replace(reason: string): Promise<void> {
		if (this.#reservation) {
			return;
		}

		const reservation = new AbortController();
		this.#reservation = reservation;
		const isReserved = await this.options.reserveRetry(reservation.signal, this.#exchange!.isStarted);
		this.#reservation = undefined;
		if (isReserved && !reservation.signal.aborted) {
			this.#leave(reason);
		}
	}

	/** Ends the attempt, whose request waits for a connection. */
	#withdraw(reason = 'the target accepts no more requests, or fewer'): void {
		this.#exchange?.abort(reason);
		this.#finish({
			kind: 'failed', failure: 'withdrawn', reason, progress: this.#progress,
		});
	}

	#leave(reason: string): void {
		if (!this.#exchange!.isStarted) {
			this.#withdraw(reason);
			return;
		}

		if (!this.#isUnreachable) {
			this.#recordOutcome(this.#isStream ? 'failed' : 'unreachable');
		}

		this.#abort('silent', reason);
	}

	#recordOutcome(outcome: CallOutcome): void {
		const {target, clock} = this.options;
		const tookMs = (this.#isStream ? this.#lastProgressMs : clock.now()) - this.#startedMs;
		target.recordCall(outcome, clock.now(), tookMs);
	}

	#abort(failure: AttemptFailure, reason: string): void {
		this.#exchange?.abort(reason);
		if (failure === 'broken') {
			this.#recordOutcome('failed');
		}

		this.#finish({
			kind: 'failed', failure, reason, progress: this.#progress,
		});
	}

	#fail(failure: AttemptFailure, reason: string): void {
		this.#recordOutcome(failure === 'unsent' ? 'unreachable' : 'failed');
		this.#finish({
			kind: 'failed', failure, reason, progress: this.#progress,
		});
	}

	/** Tells the stream what a part that was broken off shows of events that the caller does not have. */
	#recordMissing(): void {
		if (this.#splitter.isInsideEvent) {
			this.options.sink!.recordMore(this.#splitter.partialId);
		} else if (this.#framing === 'length' && !this.#isBodyWhole) {
			this.options.sink!.recordMore();
		}
	}

	#finish(outcome: AttemptOutcome): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		if (this.#isStream && outcome.kind === 'failed') {
			this.#recordMissing();
		}

		this.#memory.release();
		this.#cancelSilenceCheck();
		this.#endUnsentWatch();
		this.#reservation?.abort();
		this.options.signal.removeEventListener('abort', this.#onAbort);
		this.options.target.inFlight--;
		this.resolve(outcome);
	}
}
