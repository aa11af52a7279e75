import type {Clock} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';
import type {ServiceDeclaration} from '../routes/index.js';
import {decideRetention, type RetentionDecision, type RetentionInputs} from './decide-retention.js';
import {InterruptionCounts} from './interruption-counts.js';
import {maxRetainedBytes} from './max-retained-bytes.js';

/** What became of the stage results of a request: `retained` or `freed` at the start of a response, `reused` for another attempt, `expired` before the end of the response. */
export type ResultUse = 'retained' | 'freed' | 'reused' | 'expired';

/** Dependencies of {@link ResultRetention}. */
export interface ResultRetentionOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	/** Returns the number of known targets of a service. */
	readonly targetCount: (service: string) => number;
	/** Number of entry VMs; `undefined` while it is not known. */
	readonly entryVms: () => number | undefined;
	/** Called with each use of the results of a request. */
	readonly onUse: (use: ResultUse) => void;
}

/** A response with stage results that starts. */
export interface StartedResponse {
	/** Id of the request attempt. */
	readonly id: string;
	/** Service of the final target. */
	readonly service: string;
	/** Whether another attempt may follow the one that responds. */
	readonly mayResume: boolean;
	/** Bytes of the results of the request, by the stage service that keeps them. */
	readonly bytes: ReadonlyMap<string, number>;
	readonly services: ReadonlyMap<string, Pick<ServiceDeclaration, 'stagePool'>>;
}

type Judgement = {readonly decision: RetentionDecision; readonly stageService?: string; readonly inputs?: RetentionInputs};

/** Results that count as retained until they are released; a second release has no effect. */
export interface RetentionLease {
	release(): void;
}

/**
 * Decides for all requests of this entry VM whether their stage results are retained after the start of a response, and
 * counts the bytes that are.
 *
 * @example
 * const lease = retention.decide({id, service: 'engines', mayResume: true, bytes: new Map([['retrieval', 2000]]), services});
 * lease?.release();
 */
export class ResultRetention {
	static create(options: ResultRetentionOptions): ResultRetention {
		return new ResultRetention(options);
	}

	readonly #counts = InterruptionCounts.create();
	/** Retained bytes by stage service. */
	readonly #retainedBytes = new Map<string, number>();

	private constructor(private readonly options: ResultRetentionOptions) {}

	/** Returns the bytes of results of a stage service that are retained. */
	retainedBytes(service: string): number {
		return this.#retainedBytes.get(service) ?? 0;
	}

	/** Records a response that starts, and returns a lease if the results of its request are to be retained. */
	decide(response: StartedResponse): RetentionLease | undefined {
		const {clock, logger, onUse} = this.options;
		const {id, service, bytes} = response;
		const now = clock.now();
		this.#counts.recordStart(service, now);
		const {decision, stageService, inputs} = this.#judge(response);
		onUse(decision === 'retain' ? 'retained' : 'freed');
		logger.debug('Decided whether stage results are retained.', {
			id, service, decision, stage_service: stageService, started: inputs?.started, interrupted: inputs?.interrupted, retained_bytes: inputs?.retainedBytes, bytes: inputs?.bytes, max_bytes: inputs?.maxBytes,
		});
		return decision === 'retain' ? this.#lease(bytes) : undefined;
	}

	/** Records that results were freed at the start of a response that cannot be resumed. */
	recordFreed(): void {
		this.options.onUse('freed');
	}

	/** Records that a response with results was interrupted after its start. */
	recordInterruption(service: string): void {
		this.#counts.recordInterruption(service, this.options.clock.now());
	}

	/** Records that retained results are used again. */
	recordReuse({id, results, ageMs}: {id: string; results: number; ageMs: number}): void {
		this.options.onUse('reused');
		this.options.logger.info('Reusing the stage results of a request for another attempt.', {id, results, age_ms: Math.round(ageMs)});
	}

	/** Records that retained results are freed, since they may expire. */
	recordExpired({id, results, ageMs}: {id: string; results: number; ageMs: number}): void {
		this.options.onUse('expired');
		this.options.logger.debug('Freed retained stage results before they expire.', {id, results, age_ms: Math.round(ageMs)});
	}

	/** Retains the results of all stage services or none; returns the first reason against it, or the last inputs. */
	#judge({service, mayResume, bytes, services}: StartedResponse): Judgement {
		const {clock, targetCount, entryVms} = this.options;
		const recent = this.#counts.recent(service, clock.now());
		let judged: Judgement = {decision: 'unknown_size'};
		for (const [stageService, count] of bytes) {
			const inputs: RetentionInputs = {
				mayResume,
				...recent,
				retainedBytes: this.retainedBytes(stageService),
				bytes: count,
				maxBytes: maxRetainedBytes({resultMemoryMb: services.get(stageService)?.stagePool?.resultMemoryMb ?? 0, targets: targetCount(stageService), entryVms: entryVms()}),
			};
			judged = {decision: decideRetention(inputs), stageService, inputs};
			if (judged.decision !== 'retain') {
				break;
			}
		}

		return judged;
	}

	#lease(bytes: ReadonlyMap<string, number>): RetentionLease {
		this.#add(bytes, 1);
		let isReleased = false;
		return {
			release: () => {
				if (!isReleased) {
					isReleased = true;
					this.#add(bytes, -1);
				}
			},
		};
	}

	#add(bytes: ReadonlyMap<string, number>, sign: 1 | -1): void {
		for (const [service, count] of bytes) {
			this.#retainedBytes.set(service, this.retainedBytes(service) + (sign * count));
		}
	}
}
