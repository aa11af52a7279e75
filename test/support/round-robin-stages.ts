import type {Clock, Ms} from '../../src/clock/index.js';
import type {
	StageJob, StageJobOutcome, StagePlan, StageRunner, StagePlanOutcome, StageTarget, StageTargetPort,
} from '../../src/pools/index.js';
import type {TargetRegistry} from '../../src/registry/index.js';
import type {StagePoolLimits} from '../../src/routes/index.js';

/** Dependencies of `RoundRobinStages`. */
export interface RoundRobinOptions {
	readonly clock: Clock;
	readonly port: StageTargetPort;
	readonly registry: TargetRegistry;
	readonly limits: (service: string) => StagePoolLimits;
}

type QueuedJob = {job: StageJob; resolve: (outcome: StageJobOutcome) => void};

type TargetQueue = {readonly target: StageTarget; readonly waiting: QueuedJob[]; isBusy: boolean};

/**
 * Baseline for comparison with the stage pools: jobs are assigned to targets round robin, each target has a FIFO queue and
 * takes as many jobs in one call as fit into a batch, and no job is rejected before its deadline.
 *
 * @example
 * const outcome = await RoundRobinStages.create(options).run(plan, signal);
 */
export class RoundRobinStages implements StageRunner {
	static create(options: RoundRobinOptions): RoundRobinStages {
		return new RoundRobinStages(options);
	}

	readonly #queues = new Map<string, TargetQueue[]>();
	readonly #nextIndexes = new Map<string, number>();

	private constructor(private readonly options: RoundRobinOptions) {}

	async run(plan: StagePlan): Promise<StagePlanOutcome> {
		const runs = new Map<number, Promise<StageJobOutcome>>();
		const start = async (stage: number): Promise<StageJobOutcome> => {
			let run = runs.get(stage);
			if (!run) {
				run = this.#runStage(plan, stage, start);
				runs.set(stage, run);
			}

			return run;
		};

		const outcomes = await Promise.all(plan.stages.map(async (_, stage) => start(stage)));
		const isLast = (stage: number) => !plan.stages.some(other => other.after.includes(stage));
		const failure = outcomes.find(outcome => 'failure' in outcome);
		const handles = outcomes.map(outcome => 'results' in outcome ? outcome.results : []);
		this.free(handles.filter((_, stage) => failure !== undefined || !isLast(stage)).flat());
		if (failure && 'failure' in failure) {
			return {failure: failure.failure, retryAfterMs: failure.retryAfterMs};
		}

		return {results: handles.flatMap((results, stage) => isLast(stage) ? results.map(handle => ({handle, zone: '', bytes: plan.stages[stage]!.resultBytes})) : [])};
	}

	free(handles: readonly string[]): void {
		if (handles.length > 0) {
			void this.options.port.free(this.options.port.producerOf(handles[0]!), handles);
		}
	}

	async #runStage(plan: StagePlan, stage: number, start: (stage: number) => Promise<StageJobOutcome>): Promise<StageJobOutcome> {
		const {service, after, pieces, resultBytes} = plan.stages[stage]!;
		const inputOutcomes = await Promise.all(after.map(async other => start(other)));
		const failure = inputOutcomes.find(outcome => 'failure' in outcome);
		if (failure ?? pieces === 0) {
			return failure ?? {results: []};
		}

		return this.#submit(service, {
			id: `${plan.attemptId}/${stage}`,
			attemptId: plan.attemptId,
			stage,
			pieces,
			key: plan.pieceKey,
			inputs: inputOutcomes.flatMap(outcome => 'results' in outcome ? outcome.results : []),
			resultBytes,
			transfers: [],
			priority: 0,
			startByMs: plan.callByMs,
			deadlineMs: plan.deadlineMs,
			isCommitted: false,
		});
	}

	async #submit(service: string, job: StageJob): Promise<StageJobOutcome> {
		const {registry} = this.options;
		let queues = this.#queues.get(service);
		if (!queues) {
			queues = registry.acceptingTargets(service).map(({entry}) => ({target: {id: entry.id, address: entry.address, zone: entry.zone}, waiting: [], isBusy: false}));
			this.#queues.set(service, queues);
		}

		const nextIndex = this.#nextIndexes.get(service) ?? 0;
		this.#nextIndexes.set(service, nextIndex + 1);
		const queue = queues[nextIndex % queues.length]!;
		return new Promise(resolve => {
			queue.waiting.push({job, resolve});
			void this.#dispatch(service, queue);
		});
	}

	async #dispatch(service: string, queue: TargetQueue): Promise<void> {
		if (queue.isBusy || queue.waiting.length === 0) {
			return;
		}

		const {clock, port, limits} = this.options;
		const now: Ms = clock.now();
		const {batch, callMs} = limits(service);
		const selected: QueuedJob[] = [];
		let pieces = 0;
		while (queue.waiting.length > 0 && (selected.length === 0 || pieces + queue.waiting[0]!.job.pieces <= batch)) {
			const next = queue.waiting.shift()!;
			if (now + callMs > next.job.deadlineMs) {
				next.resolve({failure: 'late', retryAfterMs: callMs});
				continue;
			}

			selected.push(next);
			pieces += next.job.pieces;
		}

		if (selected.length === 0) {
			return;
		}

		queue.isBusy = true;
		const outcome = await port.run({
			target: queue.target, pieces: selected.flatMap(({job}) => Array.from({length: job.pieces}, (_, piece) => ({job, piece}))), timeoutMs: Infinity, now,
		});
		queue.isBusy = false;
		let index = 0;
		for (const {job, resolve} of selected) {
			const results = outcome.kind === 'done' ? outcome.results.slice(index, index + job.pieces) : [];
			const handles = results.flatMap(result => 'handle' in result ? [result.handle] : []);
			index += job.pieces;
			if (handles.length === job.pieces) {
				resolve({results: handles});
			} else {
				this.free(handles);
				resolve({failure: 'failed', retryAfterMs: callMs});
			}
		}

		void this.#dispatch(service, queue);
	}
}
