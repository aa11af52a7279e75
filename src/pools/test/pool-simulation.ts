import type {Ms} from '../../clock/index.js';
import {Random} from '../../random/index.js';
import type {StagePoolLimits} from '../../routes/index.js';
import {PlanForecast} from '../plan-forecast.js';
import {ServiceRetryBudget} from '../service-retry-budget.js';
import type {PieceResult, StageCallOutcome, StageJobOutcome} from '../stage-job.js';
import type {StagePlan} from '../stage-plan.js';
import {objectiveMarginMs} from '../stage-plan-run.js';
import {StagePool, type StageCall} from '../stage-pool.js';

/** A kind of request, whose stages run one after the other in the pool. */
export interface SimulatedKind {
	readonly name: string;
	readonly priority: number;
	readonly stages: number;
	/** Range of the number of pieces of a stage. */
	readonly pieces: readonly [number, number];
	/** Time of a piece, which the pool has to learn. */
	readonly pieceMs: Ms;
	readonly resultBytes: number;
	/** Time until the final call must start, and until the request is given up. */
	readonly callInMs: Ms;
	readonly deadlineInMs: Ms;
	/** Time between the end of the last stage and the release of its results. */
	readonly fetchMs: Ms;
	/** Requests per second at a time. */
	readonly perSecond: (now: Ms) => number;
}

/** A request that has ended. */
export interface SimulatedEnd {
	readonly kind: SimulatedKind;
	readonly startedMs: Ms;
	readonly endedMs: Ms;
	/** `served` if the final call could start in time, `late` if it started before the deadline only. */
	readonly end: 'served' | 'late' | 'refused' | 'failed';
}

/** A call that was sent. */
export interface SimulatedCall {
	readonly call: StageCall;
	readonly startedMs: Ms;
	readonly tookMs: Ms;
	readonly backlog: number;
	/** Pieces for whose results the target had no memory. */
	readonly withoutRoom: number;
}

/** Options of {@link PoolSimulation}. */
export interface SimulationOptions {
	readonly limits: StagePoolLimits;
	readonly targets: number;
	readonly kinds: readonly SimulatedKind[];
	readonly seed: number;
	/** Factor by which work at a target takes longer at a time. */
	readonly slowdown?: (target: string, now: Ms) => number;
	/** Whether targets tell that factor. */
	readonly isLoadReported?: boolean;
}

type Request = {id: string; kind: SimulatedKind; startedMs: Ms; isOnTime: boolean; plan: StagePlan; handles: readonly string[]};
type Event = {atMs: Ms; run: () => void};

const stepMs: Ms = 5;
/** Time until the pool is told of the end of a call, or of the release of a result. */
const messageMs: Ms = 5;

/**
 * Drives a pool with seeded requests and targets that hold memory for results from the start of a call until they are
 * released or expire, without a network or timers.
 */
export class PoolSimulation {
	static create(options: SimulationOptions): PoolSimulation {
		return new PoolSimulation(options);
	}

	readonly pool: StagePool;
	readonly calls: SimulatedCall[] = [];
	readonly ends: SimulatedEnd[] = [];
	#now: Ms = 0;
	#count = 0;
	readonly #random: Random;
	readonly #events: Event[] = [];
	/** Results held by each target: MB and the time of expiry by handle. */
	readonly #held = new Map<string, Map<string, {mb: number; expiresMs: Ms}>>();

	private constructor(private readonly options: SimulationOptions) {
		this.#random = Random.create(options.seed);
		this.pool = StagePool.create({
			limits: options.limits,
			budget: ServiceRetryBudget.create({limits: {windowMs: 10_000, ratio: 0.2, slack: 50}, share: () => 1}),
			onUnused: handle => {
				this.#release(handle);
			},
		});
		const ids = Array.from({length: options.targets}, (_, index) => `t${index}`);
		this.pool.setTargets(ids.map(id => ({id, address: `${id}:80`, zone: 'riga-a'})));
		for (const id of ids) {
			this.#held.set(id, new Map());
		}
	}

	/** Runs until a time. */
	runUntil(endMs: Ms): void {
		for (; this.#now < endMs; this.#now += stepMs) {
			for (const kind of this.options.kinds) {
				if (this.#random.chance(kind.perSecond(this.#now) * stepMs / 1000)) {
					this.#arrive(kind);
				}
			}

			const due = this.#events.filter(({atMs}) => atMs <= this.#now);
			this.#events.splice(0, this.#events.length, ...this.#events.filter(({atMs}) => atMs > this.#now));
			for (const {run} of due) {
				run();
			}

			for (const call of this.pool.nextCalls(this.#now)) {
				this.#send(call);
			}
		}
	}

	/** Average fraction of the batch that calls fill which start in a time and leave a backlog; `undefined` without such calls. */
	fill(fromMs: Ms, toMs: Ms): number | undefined {
		const calls = this.calls.filter(({startedMs, backlog}) => startedMs >= fromMs && startedMs < toMs && backlog > 0);
		return calls.length === 0 ? undefined : calls.reduce((sum, {call}) => sum + call.pieces.length, 0) / calls.length / this.options.limits.batch;
	}

	/** Fraction of the requests of a kind that were served in their objective, of those that arrived in a time. */
	served(name: string, fromMs: Ms, toMs: Ms): number {
		const ends = this.ends.filter(({kind, startedMs}) => kind.name === name && startedMs >= fromMs && startedMs < toMs);
		return ends.filter(({end}) => end === 'served').length / Math.max(1, ends.length);
	}

	#at(atMs: Ms, run: () => void): void {
		this.#events.push({atMs, run});
	}

	/** Decides as {@link StagePlanRun} does. */
	#arrive(kind: SimulatedKind): void {
		const id = `${kind.name}-${this.#count++}`;
		const startedMs = this.#now;
		const plan: StagePlan = {
			attemptId: id,
			stages: Array.from({length: kind.stages}, (_, stage) => ({
				service: 's', after: stage === 0 ? [] : [stage - 1], resultBytes: kind.resultBytes, pieces: this.#random.integer(...kind.pieces),
			})),
			pieceKey: 'k',
			zone: 'riga-a',
			priority: kind.priority,
			callByMs: startedMs + kind.callInMs,
			deadlineMs: startedMs + kind.deadlineInMs,
		};
		const forecast = this.#forecast(plan);
		const isOnTime = startedMs + forecast.predictMs(plan.callByMs) + objectiveMarginMs <= plan.callByMs;
		const request: Request = {
			id, kind, startedMs, isOnTime, plan, handles: [],
		};
		if (startedMs + forecast.predictMs(isOnTime ? plan.callByMs : -Infinity) > plan.deadlineMs) {
			this.#end(request, 'refused');
			return;
		}

		for (let stage = 1; stage < kind.stages; stage++) {
			this.pool.announce(`${id}/${stage}`, {
				job: this.#urgency(request, forecast, stage), pieces: plan.stages[stage]!.pieces, kind: {stage, resultBytes: kind.resultBytes},
			});
		}

		this.#submit(request, forecast, 0);
	}

	#forecast(plan: StagePlan): PlanForecast {
		return PlanForecast.create(plan, {
			expectedCallMs: (_, pieces, kind) => this.pool.expectedCallMs(pieces, kind),
			expectedWaitMs: (_, job) => this.pool.expectedWaitMs(this.#now, job),
		});
	}

	#urgency({plan, isOnTime}: Request, forecast: PlanForecast, stage: number) {
		const pathMs = forecast.pathMs(stage);
		return {
			priority: plan.priority,
			isCommitted: pathMs <= forecast.totalMs / 2,
			startByMs: isOnTime ? plan.callByMs - pathMs : -Infinity,
			deadlineMs: plan.deadlineMs - pathMs + forecast.stageMs(stage),
		};
	}

	#submit(request: Request, forecast: PlanForecast, stage: number): void {
		const {id, plan, handles} = request;
		this.pool.submit({
			...this.#urgency(request, forecast, stage),
			id: `${id}/${stage}`,
			attemptId: id,
			stage,
			pieces: plan.stages[stage]!.pieces,
			key: 'k',
			inputs: handles,
			resultBytes: plan.stages[stage]!.resultBytes,
			transfers: [],
		}, outcome => {
			this.#endStage(request, forecast, stage, outcome);
		}, this.#now);
	}

	#endStage(request: Request, forecast: PlanForecast, stage: number, outcome: StageJobOutcome): void {
		const {kind, plan, handles} = request;
		for (const handle of handles) {
			this.#release(handle);
		}

		if ('failure' in outcome) {
			for (let later = stage + 1; later < kind.stages; later++) {
				this.pool.withdraw(`${request.id}/${later}`);
			}

			this.#end(request, outcome.failure === 'overloaded' ? 'refused' : 'failed');
			return;
		}

		const isLast = stage === kind.stages - 1;
		this.#at(this.#now + (isLast ? kind.fetchMs : messageMs), () => {
			if (isLast) {
				for (const handle of outcome.results) {
					this.#release(handle);
				}
			} else {
				this.#submit({...request, handles: outcome.results}, forecast, stage + 1);
			}
		});
		if (isLast) {
			this.#end(request, this.#now <= plan.callByMs ? 'served' : 'late');
		}
	}

	#end({kind, startedMs}: Request, end: SimulatedEnd['end']): void {
		this.ends.push({
			kind, startedMs, endedMs: this.#now, end,
		});
	}

	#send(call: StageCall): void {
		const {limits, slowdown = () => 1, isLoadReported = false} = this.options;
		const held = this.#held.get(call.target.id)!;
		for (const [handle, {expiresMs}] of held) {
			if (expiresMs <= this.#now) {
				held.delete(handle);
			}
		}

		let usedMb = [...held.values()].reduce((sum, {mb}) => sum + mb, 0);
		let workMs = limits.callMs;
		const results = call.pieces.map(({job}, index): PieceResult => {
			const mb = job.resultBytes / 1e6;
			if (usedMb + mb > limits.resultMemoryMb) {
				return {problem: 'room'};
			}

			usedMb += mb;
			workMs += this.options.kinds.find(({name}) => job.attemptId.startsWith(`${name}-`))!.pieceMs;
			const handle = `${call.target.id}/${call.id}/${index}`;
			held.set(handle, {mb, expiresMs: Infinity});
			return {handle};
		});
		let tookMs = 0;
		for (let doneMs = 0; doneMs < workMs; tookMs += stepMs) {
			doneMs += stepMs / slowdown(call.target.id, this.#now + tookMs);
		}

		this.calls.push({
			call, startedMs: this.#now, tookMs, backlog: this.pool.backlog, withoutRoom: results.filter(result => 'problem' in result).length,
		});
		this.#at(this.#now + tookMs, () => {
			for (const result of results) {
				if ('handle' in result && held.has(result.handle)) {
					held.set(result.handle, {...held.get(result.handle)!, expiresMs: this.#now + limits.resultTtlMs});
				}
			}
		});
		const outcome: StageCallOutcome = {
			kind: 'done',
			results,
			...(isLoadReported
				? {
					load: {
						running: 0, waiting: 0, slots: 1, slowdown: slowdown(call.target.id, this.#now + tookMs),
					},
				}
				: {}),
		};
		this.#at(this.#now + tookMs + messageMs, () => {
			this.pool.endCall(call.id, outcome, this.#now);
		});
	}

	#release(handle: string): void {
		this.#at(this.#now + messageMs, () => {
			this.#held.get(handle.split('/', 1)[0]!)!.delete(handle);
			this.pool.removeResult(handle, this.#now);
		});
	}
}
