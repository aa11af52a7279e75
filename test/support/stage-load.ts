import {setImmediate as nextTurn} from 'node:timers/promises';
import {ManualClock, type Ms} from '../../src/clock/index.js';
import {silentLoggerFactory} from '../../src/logging/index.js';
import {Placement} from '../../src/placement/index.js';
import {
	PoolHost, type PieceResult, type StageCallOutcome, type StagePlan, type StageTargetCall, type StageTargetPort,
} from '../../src/pools/index.js';
import {Random} from '../../src/random/index.js';
import {TargetRegistry} from '../../src/registry/index.js';
import type {ServiceDeclaration, StagePoolLimits} from '../../src/routes/index.js';
import {RoundRobinStages} from './round-robin-stages.js';

/** Stage service of a simulated load: its limits and the availability zone of each target. */
export interface LoadService {
	readonly name: string;
	readonly limits: StagePoolLimits;
	readonly zones: readonly string[];
}

/** Stage of a kind of request: the mean number of its pieces, and the fraction of requests that include it. */
export interface LoadStage {
	readonly service: string;
	readonly after: readonly number[];
	readonly pieces: number;
	readonly share?: number;
	readonly resultBytes: number;
}

/** Kind of request, with its arrival rate, objective and value. */
export interface LoadKind {
	readonly name: string;
	readonly requestsPerS: number;
	readonly objectiveMs: Ms;
	readonly deadlineMs: Ms;
	readonly priority: number;
	/** Value of an answer within the objective. */
	readonly worth: number;
	/** Value of a later answer. */
	readonly lateWorth: number;
	/** Typical time of the final engine call until its first token. */
	readonly engineMs: Ms;
	readonly stages: readonly LoadStage[];
}

/** Interval in which the arrival rate of one kind of request, or of all kinds, is multiplied by `rateFactor`. */
export interface LoadBurst {
	readonly fromMs: Ms;
	readonly toMs: Ms;
	readonly rateFactor: number;
	readonly kind?: string;
}

/** Simulated load on stage services. */
export interface StageLoad {
	readonly services: readonly LoadService[];
	readonly kinds: readonly LoadKind[];
	readonly bursts: readonly LoadBurst[];
	readonly zones: readonly string[];
	/** Mean number of requests that arrive at the same time. */
	readonly groupSize: number;
	readonly durationMs: Ms;
	readonly seed: number;
	/** One-way network latency between the host and targets in other zones. */
	readonly crossZoneLatencyMs: Ms;
	/** Fraction of pieces that fail. */
	readonly failureRate: number;
}

/** Results of the requests of one kind. */
export interface KindResult {
	requests: number;
	onTime: number;
	late: number;
	/** Number of late answers that missed the objective by at most 300 ms. */
	nearlyOnTime: number;
	rejected: number;
	/** Total value of the answers. */
	worth: number;
	/** Total value if every request had been answered on time. */
	owed: number;
	/** Total time from the last attempt of each rejected request to its rejection, in ms. */
	rejectionMs: number;
}

/** Results of a simulated load, by kind of request and in total. */
export interface StageLoadResult {
	readonly kinds: ReadonlyMap<string, KindResult>;
	readonly worth: number;
	readonly owed: number;
	/** Pieces whose results were not used in any answer. */
	readonly wastedPieces: number;
	readonly pieces: number;
	readonly crossZoneMb: number;
}

const sameZoneLatencyMs: Ms = 1;
const freeLatencyMs: Ms = 2;
const nearlyOnTimeMs: Ms = 300;

type SimulatedTarget = {
	readonly zone: string;
	readonly limits: StagePoolLimits;
	usedMb: number;
	busyUntilMs: Ms;
};

/** Simulated stage targets on a manual clock. Each runs one call at a time and holds results in limited memory. */
class SimulatedTargets implements StageTargetPort {
	readonly #targets = new Map<string, SimulatedTarget>();
	readonly #results = new Map<string, {address: string; mb: number}>();
	#createdResults = 0;
	pieces = 0;
	crossZoneBytes = 0;

	constructor(private readonly load: StageLoad, private readonly clock: ManualClock, private readonly random: Random, private readonly hostZone: string) {}

	add(address: string, zone: string, limits: StagePoolLimits): void {
		this.#targets.set(address, {
			zone, limits, usedMb: 0, busyUntilMs: 0,
		});
	}

	async run({target, pieces}: StageTargetCall): Promise<StageCallOutcome> {
		const {clock, load, random} = this;
		const state = this.#targets.get(target.address)!;
		const latencyMs = state.zone === this.hostZone ? sameZoneLatencyMs : load.crossZoneLatencyMs;
		await clock.sleep(latencyMs);
		const startMs = Math.max(clock.now(), state.busyUntilMs);
		state.busyUntilMs = startMs + ((state.limits.callMs + (state.limits.pieceMs * pieces.length)) * (0.9 + random.exponential(0.12)));
		await clock.sleep(state.busyUntilMs - clock.now());
		const results = pieces.map(({job}): PieceResult => {
			this.pieces++;
			for (const input of job.inputs) {
				const held = this.#results.get(input);
				if (!held) {
					return {problem: 'gone'};
				}

				if (this.#targets.get(held.address)!.zone !== state.zone) {
					this.crossZoneBytes += held.mb * 1e6;
				}
			}

			const mb = job.resultBytes / 1e6;
			if (random.chance(load.failureRate)) {
				return {problem: 'error'};
			}

			if (state.usedMb + mb > state.limits.resultMemoryMb) {
				return {problem: 'room'};
			}

			state.usedMb += mb;
			const handle = `${target.address}/${this.#createdResults++}`;
			this.#results.set(handle, {address: target.address, mb});
			return {handle};
		});
		await clock.sleep(latencyMs);
		return {kind: 'done', results};
	}

	async free(_maker: string, handles: readonly string[]): Promise<void> {
		await this.clock.sleep(freeLatencyMs);
		for (const handle of handles) {
			const result = this.#results.get(handle);
			if (result) {
				this.#results.delete(handle);
				this.#targets.get(result.address)!.usedMb -= result.mb;
			}
		}
	}

	producerOf(handle: string): string {
		return handle.split('/', 1)[0]!;
	}
}

/**
 * Simulates a load on one host of stage pools with simulated targets, on a manual clock. A rejected request is retried
 * once after its retry-after time if that is before its deadline; lateness is measured from the first attempt.
 *
 * @example
 * const {worth, owed} = await simulateStageLoad(load);
 */
export async function simulateStageLoad(load: StageLoad, {runner = 'pools'}: {runner?: 'pools' | 'baseline'} = {}): Promise<StageLoadResult> {
	const clock = ManualClock.create();
	const random = Random.create(load.seed);
	const engineRandom = Random.create(load.seed + 2);
	const logger = silentLoggerFactory('requests');
	const registry = TargetRegistry.create({clock, logger});
	const hostZone = load.zones[0]!;
	const targets = new SimulatedTargets(load, clock, Random.create(load.seed + 1), hostZone);
	const services = new Map<string, ServiceDeclaration>();
	for (const [index, {name, limits, zones}] of load.services.entries()) {
		services.set(name, {
			name, maxConnections: 100, engineSlots: undefined, stagePool: limits,
		});
		for (const [targetIndex, zone] of zones.entries()) {
			const address = `10.${index}.0.${targetIndex}:80`;
			targets.add(address, zone, limits);
			registry.put({
				id: `${name}-${targetIndex}`, service: name, address, zone, slots: 1, isDraining: false, startedMs: 0,
			});
		}
	}

	const host = PoolHost.create({
		clock,
		logger,
		registry,
		placement: Placement.create({
			clock, logger, targets: registry, zone: hostZone, regionOf: zone => zone,
		}),
		port: targets,
		retryLimits: {windowMs: 10_000, ratio: 0.2, slack: 58},
		share: () => 1,
		isOwnZone: () => true,
		service: name => services.get(name),
	});
	const stages = runner === 'pools'
		? host
		: RoundRobinStages.create({
			clock, port: targets, registry, limits: name => services.get(name)!.stagePool!,
		});
	const results = new Map<string, KindResult>();
	let usedPieces = 0;
	const pending = new Set<string>();
	let nextId = 0;

	const request = async (kind: LoadKind, plannedStages: StagePlan['stages'], firstAttemptMs: Ms, zone: string, isRetry: boolean): Promise<void> => {
		const result = results.get(kind.name)!;
		const startedMs = clock.now();
		const attemptId = `r${nextId++}`;
		const outcome = await stages.run({
			attemptId,
			stages: plannedStages,
			pieceKey: attemptId,
			zone,
			priority: kind.priority,
			callByMs: startedMs + kind.objectiveMs - kind.engineMs,
			deadlineMs: startedMs + kind.deadlineMs - kind.engineMs,
		}, new AbortController().signal);
		if ('failure' in outcome) {
			const retryAfterMs = Math.ceil(outcome.retryAfterMs / 1000) * 1000;
			if (!isRetry && clock.now() + retryAfterMs - firstAttemptMs < kind.deadlineMs) {
				await clock.sleep(retryAfterMs);
				await request(kind, plannedStages, firstAttemptMs, zone, true);
				return;
			}

			result.rejected++;
			result.rejectionMs += clock.now() - startedMs;
			return;
		}

		await clock.sleep(kind.engineMs * (0.7 + engineRandom.exponential(0.4)));
		stages.free(outcome.results.map(({handle}) => handle));
		usedPieces += plannedStages.reduce((sum, {pieces}) => sum + pieces, 0);
		const isOnTime = clock.now() - firstAttemptMs <= kind.objectiveMs;
		result[isOnTime ? 'onTime' : 'late']++;
		result.nearlyOnTime += !isOnTime && clock.now() - firstAttemptMs <= kind.objectiveMs + nearlyOnTimeMs ? 1 : 0;
		result.worth += isOnTime ? kind.worth : kind.lateWorth;
	};

	for (const kind of load.kinds) {
		results.set(kind.name, {
			requests: 0, onTime: 0, late: 0, nearlyOnTime: 0, rejected: 0, worth: 0, owed: 0, rejectionMs: 0,
		});
		const groupMs = (1000 * load.groupSize) / kind.requestsPerS;
		const schedule = () => {
			const times = load.bursts.filter(burst => clock.now() >= burst.fromMs && clock.now() < burst.toMs && (burst.kind === undefined || burst.kind === kind.name)).reduce((product, burst) => product * burst.rateFactor, 1);
			clock.after(random.exponential(groupMs) / times, () => {
				if (clock.now() >= load.durationMs) {
					return;
				}

				const zone = random.pick(load.zones);
				const size = random.integer(1, (2 * load.groupSize) - 1);
				for (let each = 0; each < size; each++) {
					const result = results.get(kind.name)!;
					result.requests++;
					result.owed += kind.worth;
					const planned = kind.stages.map(stage => ({
						service: stage.service, after: stage.after, resultBytes: stage.resultBytes, pieces: random.chance(stage.share ?? 1) ? Math.max(1, Math.round(stage.pieces * (0.5 + random.float()))) : 0,
					}));
					const name = `${kind.name} ${result.requests}`;
					pending.add(name);
					void request(kind, planned, clock.now(), zone, false).finally(() => {
						pending.delete(name);
					});
				}

				schedule();
			});
		};

		schedule();
	}

	await clock.advance(load.durationMs);
	while (pending.size > 0) {
		await clock.advance(1000);

		await nextTurn();
	}

	const sum = (field: 'worth' | 'owed') => [...results.values()].reduce((total, result) => total + result[field], 0);
	return {
		kinds: results, worth: sum('worth'), owed: sum('owed'), wastedPieces: targets.pieces - usedPieces, pieces: targets.pieces, crossZoneMb: targets.crossZoneBytes / 1e6,
	};
}
