import {Buffer} from 'node:buffer';
import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {RelayTarget} from '../registry/index.js';
import {EventSplitter, type WholeEvent} from './event-splitter.js';
import type {FailedAttempt} from './next-step.js';
import type {HttpHeaders, RelayCodec, TargetHead} from './relay-codec.js';
import {startExchange, type Exchange, type ExchangeRequest} from './target-exchange.js';
import type {TargetPools} from './target-pools.js';

/** Silence inside a stream after which the target is probed; events come every few ms to tens of ms. */
const streamSilenceMs: Ms = 350;
/** Silence inside a stream after which it is taken for lost though the target answers probes: its connection is half-open. */
const streamLostMs: Ms = 1100;
/** Largest answer that is kept in memory. */
const maxAnswerBytes = 8 * 1024 * 1024;
/** Statuses that would promise the caller that the request did not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A whole answer of a target. */
export interface WholeAnswer {
	readonly status: number;
	readonly head: TargetHead;
	readonly body: Buffer;
	/** False where only the end of its connection tells that it is whole. */
	readonly isFramed: boolean;
}

/** Takes the events of a stream as they come. */
export interface StreamSink {
	head(answer: Pick<WholeAnswer, 'status' | 'head' | 'isFramed'>, pauser: Pick<Exchange, 'pause' | 'resume'>): void;
	events(events: readonly WholeEvent[]): void;
	/** The stream is complete; `rest` follows its last whole event. */
	end(rest: Buffer): void;
}

/** How an attempt ended. */
export type AttemptEnd =
	| {readonly kind: 'answer'; readonly answer: WholeAnswer}
	| {readonly kind: 'streamed'}
	| {readonly kind: 'aborted'}
	| {readonly kind: 'failed'; readonly attempt: FailedAttempt; readonly reason: string; readonly answer?: WholeAnswer};

/** One attempt at one target. */
export interface TargetAttemptOptions {
	readonly clock: Clock;
	readonly pools: TargetPools;
	readonly codec: RelayCodec;
	readonly target: RelayTarget;
	readonly attemptId: string;
	readonly request: ExchangeRequest;
	/** Present for streams. */
	readonly sink: StreamSink | undefined;
	/** Time without an answer after which the attempt is given up. */
	readonly answerWithinMs: Ms;
	/** Time without an answer after which the target is probed; `undefined` for never. */
	readonly probeAfterMs: Ms | undefined;
	/** True when the target answers. */
	readonly probe: (target: RelayTarget) => Promise<boolean>;
	/** Aborted when the caller leaves or its time is over. */
	readonly signal: AbortSignal;
	/** Called with the head of an answer that the target worked for. */
	readonly onAnswering?: () => void;
}

/**
 * Sends a request to one target and collects or streams its answer. An answer counts only when it is whole and belongs
 * to this attempt. While the target is silent it is probed over another connection.
 *
 * @example
 * const end = await runAttempt({target, request, …});
 */
export async function runAttempt(options: TargetAttemptOptions): Promise<AttemptEnd> {
	return new Promise(resolve => {
		new TargetAttempt(options, resolve).start();
	});
}

class TargetAttempt {
	readonly #startedMs: Ms;
	readonly #splitter = EventSplitter.create();
	readonly #chunks: Buffer[] = [];
	#bytes = 0;
	#exchange: Exchange | undefined;
	#status = 0;
	#head: TargetHead | undefined;
	#isStream = false;
	#isFramed = true;
	#isEnded = false;
	#lastByteMs: Ms;
	#cancelWatch: CancelTimer = () => undefined;

	constructor(private readonly options: TargetAttemptOptions, private readonly resolve: (end: AttemptEnd) => void) {
		this.#startedMs = options.clock.now();
		this.#lastByteMs = this.#startedMs;
	}

	start(): void {
		const {target, signal, pools, request, probeAfterMs, answerWithinMs} = this.options;
		if (signal.aborted) {
			this.resolve({kind: 'aborted'});
			return;
		}

		target.inFlight++;
		signal.addEventListener('abort', this.#onAbort, {once: true});
		this.#watch(Math.min(answerWithinMs, probeAfterMs ?? answerWithinMs));
		this.#exchange = startExchange(pools, request, {
			onHead: (status, headers) => {
				this.#onHead(status, headers);
			},
			onData: chunk => {
				this.#onData(chunk);
			},
			onEnd: () => {
				this.#onEnd();
			},
			onError: (err, isSent) => {
				this.#fail(isSent ? 'broken' : 'unsent', errorMessage(err));
			},
		});
	}

	readonly #onAbort = () => {
		this.#exchange?.abort('the caller left or its time is over');
		this.#finish({kind: 'aborted'});
	};

	#onHead(status: number, headers: HttpHeaders): void {
		const {codec, attemptId, sink, onAnswering} = this.options;
		const head = codec.readTarget(headers);
		this.#lastByteMs = this.options.clock.now();
		if (head.attemptId !== attemptId) {
			this.#abort('broken', `the answer belongs to ${head.attemptId ?? 'no request'}`);
			return;
		}

		if (!head.isSigned && !head.isNotRun) {
			this.#abort('broken', `the answer with status ${status} is not signed`);
			return;
		}

		this.#status = status;
		this.#isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
		this.#head = head;
		if (!head.isNotRun) {
			onAnswering?.();
		}

		if (sink && status < 300 && !head.isNotRun) {
			this.#isStream = true;
			sink.head({status, head, isFramed: this.#isFramed}, this.#exchange!);
			this.#watch(streamSilenceMs);
		}
	}

	#onData(chunk: Buffer): void {
		this.#lastByteMs = this.options.clock.now();
		if (this.#isStream) {
			const events = this.#splitter.push(chunk);
			if (events.length > 0) {
				this.options.sink!.events(events);
			}

			return;
		}

		this.#bytes += chunk.length;
		if (this.#bytes > maxAnswerBytes) {
			this.#abort('broken', `the answer has more than ${maxAnswerBytes} bytes`);
			return;
		}

		this.#chunks.push(chunk);
	}

	#onEnd(): void {
		if (this.#isStream) {
			this.options.sink!.end(this.#splitter.rest);
			this.#count('ok');
			this.#finish({kind: 'streamed'});
			return;
		}

		const answer: WholeAnswer = {
			status: this.#status, head: this.#head!, body: Buffer.concat(this.#chunks), isFramed: this.#isFramed,
		};
		if (answer.head.isNotRun) {
			this.options.target.ended('busy', this.options.clock.now(), 0);
			this.#finish({
				kind: 'failed', attempt: 'refused', reason: `refused with status ${answer.status}`, answer,
			});
		} else if (answer.status >= 500) {
			this.#count('failed');
			this.#finish({
				kind: 'failed', attempt: notRunStatuses.has(answer.status) ? 'broken' : 'error', reason: `failed with status ${answer.status}`, answer,
			});
		} else {
			this.#count('ok');
			this.#finish({kind: 'answer', answer});
		}
	}

	/** Looks again when the target has been silent for `silenceMs`. */
	#watch(silenceMs: Ms): void {
		const {clock} = this.options;
		this.#cancelWatch();
		this.#cancelWatch = clock.after(Math.max(1, this.#lastByteMs + silenceMs - clock.now()), () => {
			const silentMs = clock.now() - this.#lastByteMs;
			if (silentMs < silenceMs) {
				this.#watch(silenceMs);
			} else {
				this.#onSilence(silentMs);
			}
		});
	}

	#onSilence(silentMs: Ms): void {
		const {answerWithinMs, probeAfterMs, clock} = this.options;
		const limitMs = this.#isStream ? streamLostMs : answerWithinMs;
		if (silentMs >= limitMs) {
			this.#count(this.#isStream ? 'failed' : 'unreachable');
			this.#abort('silent', `no byte for ${Math.round(silentMs)} ms`);
			return;
		}

		if (this.#isStream || probeAfterMs !== undefined) {
			void this.#probe(clock.now());
		}

		this.#watch(Math.min(limitMs, silentMs + streamSilenceMs));
	}

	async #probe(sinceMs: Ms): Promise<void> {
		const isAlive = await this.options.probe(this.options.target);
		if (!isAlive && !this.#isEnded && this.#lastByteMs <= sinceMs) {
			this.#count('unreachable');
			this.#abort('silent', 'the target answers no probe');
		}
	}

	#count(outcome: 'ok' | 'failed' | 'unreachable'): void {
		const {target, clock} = this.options;
		const tookMs = (this.#isStream ? this.#lastByteMs : clock.now()) - this.#startedMs;
		target.ended(outcome, clock.now(), tookMs);
	}

	#abort(attempt: FailedAttempt, reason: string): void {
		this.#exchange?.abort(reason);
		if (attempt === 'broken') {
			this.#count('failed');
		}

		this.#finish({kind: 'failed', attempt, reason});
	}

	#fail(attempt: FailedAttempt, reason: string): void {
		this.#count(attempt === 'unsent' ? 'unreachable' : 'failed');
		this.#finish({kind: 'failed', attempt, reason});
	}

	#finish(end: AttemptEnd): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#cancelWatch();
		this.options.signal.removeEventListener('abort', this.#onAbort);
		this.options.target.inFlight--;
		this.resolve(end);
	}
}
