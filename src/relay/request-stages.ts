import type {Clock, Ms} from '../clock/index.js';
import type {StageFailure, StagePools, ZonePull} from '../pools/index.js';
import type {Route, ServiceDeclaration} from '../routes/index.js';

/** Time for a stage's job and its results to travel between entry VMs and targets. */
const stageTransferMs: Ms = 45;

/** A request's stages and what they need of it. */
export interface RequestStagesOptions {
	readonly clock: Clock;
	readonly pools: StagePools;
	readonly route: Route;
	readonly attemptId: string;
	/** Pieces of each stage; 0 leaves it out. */
	readonly pieces: readonly number[];
	readonly pieceKey: string | undefined;
	/** Availability zone in which the last call is likely to run. */
	readonly zone: string;
	readonly priority: number;
	/** Time at which the last call has to start so that the objective is met. */
	readonly callByMs: Ms;
	readonly deadlineMs: Ms;
	readonly service: (name: string) => ServiceDeclaration | undefined;
}

/** Results of the stages that no other stage takes, or why there are none. */
export type StagesOutcome = {readonly results: readonly string[]} | {readonly failure: StageFailure; readonly retryAfterMs: Ms; readonly stage: number};

type StageRun = Promise<StagesOutcome>;

/**
 * Runs the stages of one request in the order of what they take, each as soon as it can start, and frees every result
 * when it has been taken or the request is over.
 *
 * @example
 * const outcome = await stages.run(signal);
 */
export class RequestStages {
	static create(options: RequestStagesOptions): RequestStages {
		return new RequestStages(options);
	}

	readonly #held = new Map<number, readonly string[]>();
	#round = 0;

	private constructor(private readonly options: RequestStagesOptions) {}

	/** True when the request has no stage to run. */
	get isEmpty(): boolean {
		return this.options.route.stages.every((_, stage) => this.#count(stage) === 0);
	}

	/** Bytes of the results that the last call takes, by zone. */
	get resultPulls(): ZonePull[] {
		const {pools, route} = this.options;
		return route.stages.flatMap((stage, index) => this.#isTaken(index) ? [] : (this.#held.get(index) ?? []).map(handle => ({zone: pools.zoneOf(handle) ?? '', bytes: stage.resultBytes})));
	}

	/** Runs every stage. A failure of one ends the others. */
	async run(signal: AbortSignal): Promise<StagesOutcome> {
		this.release();
		this.#held.clear();
		this.#round++;
		const {stages} = this.options.route;
		const failed = new AbortController();
		const stop = AbortSignal.any([signal, failed.signal]);
		const runs = new Map<number, StageRun>();
		const start = (stage: number): StageRun => {
			let run = runs.get(stage);
			if (!run) {
				run = this.#runStage(stage, start, stop);
				runs.set(stage, run);
			}

			return run;
		};

		const outcomes = await Promise.all(stages.map(async (_, stage) => {
			const outcome = await start(stage);
			if ('failure' in outcome && !failed.signal.aborted) {
				failed.abort();
			}

			return outcome;
		}));
		const failure = outcomes.find(outcome => 'failure' in outcome && outcome.failure !== 'cancelled') ?? outcomes.find(outcome => 'failure' in outcome);
		if (failure) {
			this.release();
			return failure;
		}

		return {results: stages.flatMap((_, stage) => this.#isTaken(stage) ? [] : this.#held.get(stage) ?? [])};
	}

	/** Frees the results that are still held. */
	release(): void {
		for (const stage of this.#held.keys()) {
			this.#free(stage);
		}
	}

	async #runStage(stage: number, start: (stage: number) => StageRun, signal: AbortSignal): StageRun {
		const {pools, route, attemptId, pieceKey, priority, deadlineMs} = this.options;
		const {after, service, resultBytes} = route.stages[stage]!;
		const taken = await Promise.all(after.map(async other => start(other)));
		const failure = taken.find(outcome => 'failure' in outcome);
		if (failure) {
			return failure;
		}

		const pieces = this.#count(stage);
		if (pieces === 0) {
			return {results: []};
		}

		const inputs = after.flatMap(other => this.#held.get(other) ?? []);
		const outcome = await pools.run(service, {
			id: `${attemptId}/${stage}/${this.#round}`,
			attemptId,
			stage,
			pieces,
			key: inputs.length === 0 ? pieceKey : undefined,
			inputs,
			resultBytes,
			pulls: this.#pulls(stage, pieces),
			priority,
			startByMs: this.options.callByMs - this.#pathMs(stage),
			deadlineMs: deadlineMs - this.#pathMs(stage) + this.#stageMs(stage),
		}, signal);
		if ('failure' in outcome) {
			return {...outcome, stage};
		}

		this.#held.set(stage, outcome.results);
		this.#freeTaken();
		if (signal.aborted) {
			this.#free(stage);
			return {failure: 'cancelled', retryAfterMs: 0, stage};
		}

		return outcome;
	}

	/** Every piece takes all results of the stages before it; results that no stage takes go to the last call. */
	#pulls(stage: number, pieces: number): ZonePull[] {
		const {pools, route, zone} = this.options;
		const {after, resultBytes} = route.stages[stage]!;
		const bytes = new Map<string, number>();
		const add = (where: string | undefined, count: number) => {
			if (where !== undefined) {
				bytes.set(where, (bytes.get(where) ?? 0) + count);
			}
		};

		for (const other of after) {
			for (const handle of this.#held.get(other) ?? []) {
				add(pools.zoneOf(handle), route.stages[other]!.resultBytes * pieces);
			}
		}

		if (!this.#isTaken(stage)) {
			add(zone, resultBytes * pieces);
		}

		return [...bytes].map(([where, count]) => ({zone: where, bytes: count}));
	}

	/** Frees the results whose every taker has its own results. */
	#freeTaken(): void {
		for (const stage of this.#held.keys()) {
			const takers = this.#takers(stage);
			if (takers.length > 0 && takers.every(taker => this.#held.has(taker) || this.#count(taker) === 0)) {
				this.#free(stage);
			}
		}
	}

	#free(stage: number): void {
		const handles = this.#held.get(stage) ?? [];
		if (handles.length > 0) {
			this.#held.set(stage, []);
			this.options.pools.free(this.options.route.stages[stage]!.service, handles);
		}
	}

	#takers(stage: number): number[] {
		return this.options.route.stages.flatMap((other, index) => other.after.includes(stage) ? [index] : []);
	}

	#isTaken(stage: number): boolean {
		return this.#takers(stage).length > 0;
	}

	#count(stage: number): number {
		return this.options.pieces[stage] ?? 0;
	}

	/** Expected time of one stage without waiting. */
	#stageMs(stage: number): Ms {
		const pieces = this.#count(stage);
		const limits = this.options.service(this.options.route.stages[stage]!.service)?.stagePool;
		return pieces === 0 || !limits ? 0 : limits.callMs + (limits.itemMs * Math.min(pieces, limits.batch)) + stageTransferMs;
	}

	/** Expected time from the start of a stage to the start of the last call. */
	#pathMs(stage: number): Ms {
		return this.#stageMs(stage) + Math.max(0, ...this.#takers(stage).map(taker => this.#pathMs(taker)));
	}
}
