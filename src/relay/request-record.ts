import type {Ms} from '../clock/index.js';
import type {RelayTarget} from '../registry/index.js';
import type {BodyEnd, BodyFraming} from './body-framing.js';
import type {RetryDenial} from './decide-retry.js';
import type {AttemptOutcome, ProbeResult} from './target-attempt.js';

type AttemptRecord = {target: string; end: string; at_ms: number; took_ms: number; reason?: string; framing?: BodyFraming; body_end?: BodyEnd; last_event?: number; probe?: ProbeResult; choice?: ChoiceFields};
type RunningAttempt = {readonly target: RelayTarget; readonly startedMs: Ms; framing?: BodyFraming; bodyEnd?: BodyEnd; lastEventId?: number; probe?: ProbeResult; choice?: ChoiceFields};

/** Log fields with the reasons for the choice of an engine. */
export type ChoiceFields = Readonly<Record<string, unknown>>;

/** How a request ended. */
export interface RequestResult {
	readonly outcome: 'answered' | 'rejected' | 'broken_off' | 'left';
	/** Empty if the outcome needs no explanation. */
	readonly reason: string;
	/** Status sent to the caller; 0 if none was sent. */
	readonly status: number;
}

/**
 * Collects the attempts and durations of one request for its log line.
 *
 * @example
 * record.startAttempt(target, startedMs);
 * record.endAttempt(outcome, now);
 * logger.info('Ended a request.', {id, ...record.logFields({outcome: 'answered', reason: '', status: 200}, now)});
 */
export class RequestRecord {
	static create(arrivedMs: Ms): RequestRecord {
		return new RequestRecord(arrivedMs);
	}

	readonly #attempts: AttemptRecord[] = [];
	#running: RunningAttempt | undefined;
	#retryDenial: RetryDenial | undefined;
	#stagesMs: Ms | undefined;
	#stageRuns = 0;
	#firstByteMs: Ms | undefined;

	private constructor(private readonly arrivedMs: Ms) {}

	/** Number of attempts that have ended. */
	get attemptCount(): number {
		return this.#attempts.length;
	}

	/** Time from arrival to the first byte of a target's response; `undefined` before. */
	get firstByteMs(): Ms | undefined {
		return this.#firstByteMs;
	}

	/** Records the start of an attempt; the one before it has ended. */
	startAttempt(target: RelayTarget, startedMs: Ms): void {
		this.#running = {target, startedMs};
	}

	/** Records why the engine of the attempt in progress was chosen. */
	recordChoice(choice: ChoiceFields | undefined): void {
		if (this.#running && choice) {
			this.#running.choice = choice;
		}
	}

	/** Records how the target of the attempt in progress responded to a probe; only the last probe is reported. */
	recordProbe(probe: ProbeResult): void {
		if (this.#running) {
			this.#running.probe = probe;
		}
	}

	/** Records how the end of the body is declared that the target of the attempt in progress responds with. */
	recordFraming(framing: BodyFraming): void {
		if (this.#running) {
			this.#running.framing = framing;
		}
	}

	/** Records how the body of the attempt in progress ended. */
	recordBodyEnd(end: BodyEnd): void {
		if (this.#running) {
			this.#running.bodyEnd = end;
		}
	}

	/** Records the id of the last event that the caller has at the end of the attempt in progress. */
	recordLastEvent(id: number | undefined): void {
		if (this.#running && id !== undefined) {
			this.#running.lastEventId = id;
		}
	}

	/** Records the end of the attempt in progress. */
	endAttempt(outcome: AttemptOutcome, now: Ms): void {
		if (this.#running) {
			this.#attempts.push(this.#describe(this.#running, outcome.kind === 'failed' ? outcome.failure : outcome.kind, now, outcome.kind === 'failed' ? outcome.reason : undefined));
			this.#running = undefined;
		}
	}

	/** Records why no further attempt was made, or may be made for now. */
	recordRetryDenial(denial: RetryDenial | undefined): void {
		this.#retryDenial = denial;
	}

	/** Number of runs of the stages that have begun. */
	get stageRuns(): number {
		return this.#stageRuns;
	}

	/** Records the start of a run of the stages; a retry may run them again. */
	startStages(): void {
		this.#stageRuns++;
	}

	/** Adds the duration of one run of the stages. */
	recordStages(tookMs: Ms): void {
		this.#stagesMs = (this.#stagesMs ?? 0) + tookMs;
	}

	/** Records the start of a target's response; only the first call counts. */
	recordFirstByte(now: Ms): void {
		this.#firstByteMs ??= now - this.arrivedMs;
	}

	/** Returns the fields of the log line, with times in ms. */
	logFields({outcome, reason, status}: RequestResult, now: Ms): Record<string, unknown> {
		return {
			outcome,
			...(reason === '' ? {} : {reason}),
			status,
			took_ms: Math.round(now - this.arrivedMs),
			...(this.#stageRuns === 0 ? {} : {stage_runs: this.#stageRuns}),
			...(this.#stagesMs === undefined ? {} : {stages_ms: Math.round(this.#stagesMs)}),
			...(this.#firstByteMs === undefined ? {} : {first_byte_ms: Math.round(this.#firstByteMs)}),
			...(this.#retryDenial === undefined ? {} : {retry_denied: this.#retryDenial}),
			attempts: this.#running ? [...this.#attempts, this.#describe(this.#running, 'running', now)] : this.#attempts,
		};
	}

	#describe({
		target, startedMs, framing, bodyEnd, lastEventId, probe, choice,
	}: RunningAttempt, end: string, now: Ms, reason?: string): AttemptRecord {
		return {
			target: target.id,
			end,
			at_ms: Math.round(startedMs - this.arrivedMs),
			took_ms: Math.round(now - startedMs),
			...(reason === undefined ? {} : {reason}),
			...(framing === undefined ? {} : {framing}),
			...(bodyEnd === undefined ? {} : {body_end: bodyEnd}),
			...(lastEventId === undefined ? {} : {last_event: lastEventId}),
			...(probe === undefined ? {} : {probe}),
			...(choice === undefined ? {} : {choice}),
		};
	}
}
