import type {Ms} from '../clock/index.js';
import type {RelayTarget} from '../registry/index.js';
import type {AttemptOutcome} from './target-attempt.js';

type AttemptRecord = {target: string; end: string; at_ms: number; took_ms: number; reason?: string};

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
 * record.recordAttempt(target, outcome, {startedMs, now});
 * logger.info('Ended a request.', {id, ...record.logFields({outcome: 'answered', reason: '', status: 200}, now)});
 */
export class RequestRecord {
	static create(arrivedMs: Ms): RequestRecord {
		return new RequestRecord(arrivedMs);
	}

	readonly #attempts: AttemptRecord[] = [];
	#stagesMs: Ms | undefined;
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

	/** Records an attempt that has ended. */
	recordAttempt(target: RelayTarget, outcome: AttemptOutcome, {startedMs, now}: {startedMs: Ms; now: Ms}): void {
		this.#attempts.push({
			target: target.id,
			end: outcome.kind === 'failed' ? outcome.failure : outcome.kind,
			at_ms: Math.round(startedMs - this.arrivedMs),
			took_ms: Math.round(now - startedMs),
			...(outcome.kind === 'failed' ? {reason: outcome.reason} : {}),
		});
	}

	/** Adds the duration of one run of the stages; a retry may run them again. */
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
			...(this.#stagesMs === undefined ? {} : {stages_ms: Math.round(this.#stagesMs)}),
			...(this.#firstByteMs === undefined ? {} : {first_byte_ms: Math.round(this.#firstByteMs)}),
			attempts: this.#attempts,
		};
	}
}
