import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {PlannedStage, StageResult} from '../pools/index.js';
import type {ServiceDeclaration} from '../routes/index.js';
import type {ResultRetention, RetentionLease} from './result-retention.js';

/** Time that a resume may take, from its decision until its target has fetched the results. */
const reuseMarginMs: Ms = 500;
/** Longest age of retained results: hosts of other cells forget after 60 s which results of others are to be freed through them. */
const maxAgeMs: Ms = 50_000;

/** Options of {@link RequestResults}. */
export interface RequestResultsOptions {
	readonly clock: Clock;
	readonly retention: Pick<ResultRetention, 'decide' | 'recordExpired' | 'recordFreed' | 'recordInterruption' | 'recordReuse'>;
	/** Id of the request attempt. */
	readonly id: string;
	/** Service of the final target. */
	readonly service: string;
	/** Whether the response is a stream that may be resumed; results are retained only then. */
	readonly isResumable: boolean;
	readonly stages: readonly PlannedStage[];
	readonly services: ReadonlyMap<string, Pick<ServiceDeclaration, 'stagePool'>>;
	/** Whether the results of targets in a zone may be used, which ends with its evacuation. */
	readonly isUsable: (zone: string) => boolean;
	/** Frees results at their targets. */
	readonly free: (handles: readonly string[]) => void;
}

/**
 * Stage results that the targets keep for one request, from the run of its stages until they are freed, which happens once.
 *
 * @example
 * results.beginRun();
 * results.set(outcome.results);
 * results.startResponse({isStream: true, mayResume: true});
 * results.release();
 */
export class RequestResults {
	static create(options: RequestResultsOptions): RequestResults {
		return new RequestResults(options);
	}

	#results: readonly StageResult[] = [];
	/** Start of the run that produced the results: none of them is older. */
	#runStartedMs: Ms = -Infinity;
	#lease: RetentionLease | undefined;
	#cancelExpiry: CancelTimer = () => undefined;
	/** Whether a response of the attempt in progress has started with the results as its inputs. */
	#hasStarted = false;

	private constructor(private readonly options: RequestResultsOptions) {}

	get all(): readonly StageResult[] {
		return this.#results;
	}

	get handles(): readonly string[] {
		return this.#results.map(({handle}) => handle);
	}

	get isEmpty(): boolean {
		return this.#results.length === 0;
	}

	/** Records that a run of the stages begins. */
	beginRun(): void {
		this.#runStartedMs = this.options.clock.now();
	}

	/** Takes over the results of the latest run; any earlier ones are freed. */
	set(results: readonly StageResult[]): void {
		this.release();
		this.#results = results;
	}

	/**
	 * Retains or frees the results when the response to an attempt starts: the target has fetched its inputs. An error may
	 * come from inputs that cannot be fetched, so that only the results of a response with events (`isStream`) are retained.
	 * `mayResume` tells whether another attempt may follow.
	 */
	startResponse({isStream, mayResume}: {isStream: boolean; mayResume: boolean}): void {
		const {clock, retention, id, service, services, isResumable} = this.options;
		if (this.isEmpty) {
			return;
		}

		this.#endRetention();
		this.#hasStarted = isResumable && isStream;
		if (!this.#hasStarted) {
			retention.recordFreed();
			this.release();
			return;
		}

		const bytes = this.#bytesByService();
		this.#lease = retention.decide({
			id, service, mayResume, bytes, services,
		});
		if (!this.#lease) {
			this.release();
			return;
		}

		const ttlMs = Math.min(...[...bytes.keys()].map(stageService => services.get(stageService)!.stagePool!.resultTtlMs));
		const endMs = this.#runStartedMs + Math.min(maxAgeMs, ttlMs - reuseMarginMs);
		this.#cancelExpiry = clock.after(Math.max(0, endMs - clock.now()), () => {
			retention.recordExpired({id, results: this.#results.length, ageMs: clock.now() - this.#runStartedMs});
			this.release();
		});
	}

	/** Records the end of an attempt, and frees retained results that may no longer be used. */
	endAttempt({isInterrupted}: {isInterrupted: boolean}): void {
		if (this.#hasStarted && isInterrupted) {
			this.options.retention.recordInterruption(this.options.service);
		}

		this.#hasStarted = false;
		if (this.#lease && !this.#results.every(({zone}) => this.options.isUsable(zone))) {
			this.release();
		}
	}

	/** Returns the handles for another attempt; retained results are inputs of a request again, and no longer count as retained. */
	reuse(): readonly string[] {
		const {clock, retention, id} = this.options;
		if (this.#lease) {
			this.#endRetention();
			retention.recordReuse({id, results: this.#results.length, ageMs: clock.now() - this.#runStartedMs});
		}

		return this.handles;
	}

	/** Frees the results, unless that was done before. */
	release(): void {
		this.#endRetention();
		const {handles} = this;
		this.#results = [];
		if (handles.length > 0) {
			this.options.free(handles);
		}
	}

	#endRetention(): void {
		this.#cancelExpiry();
		this.#lease?.release();
		this.#lease = undefined;
	}

	/** Bytes of the results of final stages, by their service; 0 where a stage does not declare the size of its results. */
	#bytesByService(): ReadonlyMap<string, number> {
		const {stages} = this.options;
		const consumed = new Set(stages.flatMap(({after}) => after));
		const finals = stages.filter(({pieces}, index) => pieces > 0 && !consumed.has(index));
		return new Map(finals.map(({service}) => {
			const ofService = finals.filter(each => each.service === service);
			const isDeclared = ofService.every(({resultBytes}) => resultBytes > 0);
			return [service, isDeclared ? ofService.reduce((sum, {pieces, resultBytes}) => sum + (pieces * resultBytes), 0) : 0];
		}));
	}
}
