import {setImmediate as nextTurn} from 'node:timers/promises';
import {ManualClock, type Ms} from '../../src/clock/index.js';
import {silentLoggerFactory} from '../../src/logs/index.js';
import {
	PoolHost, type PieceResult, type StageCallOutcome, type StagePlan, type StageTargetCall, type StageTargetPort,
} from '../../src/pools/index.js';
import {Random} from '../../src/random/index.js';
import {TargetRegistry} from '../../src/registry/index.js';
import type {ServiceDeclaration, StagePoolLimits} from '../../src/routes/index.js';
import {RoundRobinStages} from './round-robin-stages.js';

/** A stage service of a simulated load: its limits and the availability zone of each target. */
export interface LoadService {
	readonly name: string;
	readonly limits: StagePoolLimits;
	readonly zones: readonly string[];
}

/** One stage of a kind of request, with the mean number of its pieces and the share of requests that have it. */
export interface LoadStage {
	readonly service: string;
	readonly after: readonly number[];
	readonly pieces: number;
	readonly share?: number;
	readonly resultBytes: number;
}

/** A kind of request. */
export interface LoadKind {
	readonly name: string;
	readonly perS: number;
	readonly objectiveMs: Ms;
	readonly deadlineMs: Ms;
	readonly priority: number;
	/** Value of an answer within the objective, and of a later one. */
	readonly worth: number;
	readonly lateWorth: number;
	/** Time of the last call until its first token. */
	readonly engineMs: Ms;
	readonly stages: readonly LoadStage[];
}

/** A span of time in which the requests of one kind, or of all, come `times` as often. */
export interface LoadBurst {
	readonly fromMs: Ms;
	readonly toMs: Ms;
	readonly times: number;
	readonly kind?: string;
}

/** A load on stage services. */
export interface StageLoad {
	readonly services: readonly LoadService[];
	readonly kinds: readonly LoadKind[];
	readonly bursts: readonly LoadBurst[];
	readonly zones: readonly string[];
	/** Requests arrive in groups of this mean size. */
	readonly groupSize: number;
	readonly durationMs: Ms;
	readonly seed: number;
	/** One way between targets and the host in another zone. */
	readonly crossZoneMs: Ms;
	/** Part of pieces that fail. */
	readonly failureRate: number;
}

/** What became of the requests of one kind. */
export interface KindResult {
	asked: number;
	onTime: number;
	late: number;
	/** Late by less than 300 ms. */
	nearlyOnTime: number;
	refused: number;
	/** Value obtained and the most that could be. */
	worth: number;
	owed: number;
	/** Time that refused requests waited for their last refusal, in ms. */
	heldMs: number;
}

/** Results of a load: by kind, and work of stage targets whose results nobody used. */
export interface StageLoadResult {
	readonly kinds: ReadonlyMap<string, KindResult>;
	readonly worth: number;
	readonly owed: number;
	readonly wastedPieces: number;
	readonly pieces: number;
	readonly crossZoneMb: number;
}

const sameZoneMs: Ms = 1;
const freeMs: Ms = 2;
const nearlyMs: Ms = 300;

type SimulatedTarget = {
	readonly zone: string;
	readonly limits: StagePoolLimits;
	usedMb: number;
	busyUntilMs: Ms;
};

/** Stage targets on a manual clock: one call after the other, results in limited memory. */
class SimulatedTargets implements StageTargetPort {
	readonly #targets = new Map<string, SimulatedTarget>();
	readonly #results = new Map<string, {address: string; mb: number}>();
	#made = 0;
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
		const travelMs = state.zone === this.hostZone ? sameZoneMs : load.crossZoneMs;
		await clock.sleep(travelMs);
		const startMs = Math.max(clock.now(), state.busyUntilMs);
		state.busyUntilMs = startMs + ((state.limits.callMs + (state.limits.itemMs * pieces.length)) * (0.9 + random.exponential(0.12)));
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

			if (state.usedMb + mb > state.limits.roomMb) {
				return {problem: 'room'};
			}

			state.usedMb += mb;
			const handle = `${target.address}/${this.#made++}`;
			this.#results.set(handle, {address: target.address, mb});
			return {handle};
		});
		await clock.sleep(travelMs);
		return {kind: 'done', results};
	}

	async free(_maker: string, handles: readonly string[]): Promise<void> {
		await this.clock.sleep(freeMs);
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
 * Plays a load on one host of stage pools with simulated targets, on a manual clock. Callers come back once after a
 * refusal, when it says so; what they get is counted from their first attempt.
 *
 * @example
 * const {worth, owed} = await playStageLoad(load);
 */
export async function playStageLoad(load: StageLoad, {runner = 'pools'}: {runner?: 'pools' | 'baseline'} = {}): Promise<StageLoadResult> {
	const clock = ManualClock.create();
	const random = Random.create(load.seed);
	const noise = Random.create(load.seed + 2);
	const logger = silentLoggerFactory('requests');
	const registry = TargetRegistry.create({clock, logger});
	const hostZone = load.zones[0]!;
	const targets = new SimulatedTargets(load, clock, Random.create(load.seed + 1), hostZone);
	const services = new Map<string, ServiceDeclaration>();
	for (const [index, {name, limits, zones}] of load.services.entries()) {
		services.set(name, {
			name, maxConnections: 100, engineSlots: undefined, stagePool: limits,
		});
		for (const [each, zone] of zones.entries()) {
			const address = `10.${index}.0.${each}:80`;
			targets.add(address, zone, limits);
			registry.put({
				id: `${name}-${each}`, service: name, address, zone, slots: 1, isDraining: false, startedMs: 0,
			});
		}
	}

	const host = PoolHost.create({
		clock,
		logger,
		registry,
		port: targets,
		retryLimits: {windowMs: 10_000, ratio: 0.2, slack: 58},
		share: () => 1,
		service: name => services.get(name),
	});
	const stages = runner === 'pools'
		? host
		: RoundRobinStages.create({
			clock, port: targets, registry, limits: name => services.get(name)!.stagePool!,
		});
	const results = new Map<string, KindResult>();
	let usedPieces = 0;
	const open = new Set<string>();
	let ids = 0;

	const request = async (kind: LoadKind, planned: StagePlan['stages'], firstMs: Ms, zone: string, isReturn: boolean): Promise<void> => {
		const result = results.get(kind.name)!;
		const startedMs = clock.now();
		const attemptId = `r${ids++}`;
		const outcome = await stages.run({
			attemptId,
			stages: planned,
			pieceKey: attemptId,
			zone,
			priority: kind.priority,
			callByMs: startedMs + kind.objectiveMs - kind.engineMs,
			deadlineMs: startedMs + kind.deadlineMs - kind.engineMs,
		}, new AbortController().signal);
		if ('failure' in outcome) {
			const againMs = Math.ceil(outcome.retryAfterMs / 1000) * 1000;
			if (!isReturn && clock.now() + againMs - firstMs < kind.deadlineMs) {
				await clock.sleep(againMs);
				await request(kind, planned, firstMs, zone, true);
				return;
			}

			result.refused++;
			result.heldMs += clock.now() - startedMs;
			return;
		}

		await clock.sleep(kind.engineMs * (0.7 + noise.exponential(0.4)));
		stages.free(outcome.results.map(({handle}) => handle));
		usedPieces += planned.reduce((sum, {pieces}) => sum + pieces, 0);
		const isOnTime = clock.now() - firstMs <= kind.objectiveMs;
		result[isOnTime ? 'onTime' : 'late']++;
		result.nearlyOnTime += !isOnTime && clock.now() - firstMs <= kind.objectiveMs + nearlyMs ? 1 : 0;
		result.worth += isOnTime ? kind.worth : kind.lateWorth;
	};

	for (const kind of load.kinds) {
		results.set(kind.name, {
			asked: 0, onTime: 0, late: 0, nearlyOnTime: 0, refused: 0, worth: 0, owed: 0, heldMs: 0,
		});
		const groupMs = (1000 * load.groupSize) / kind.perS;
		const schedule = () => {
			const times = load.bursts.filter(burst => clock.now() >= burst.fromMs && clock.now() < burst.toMs && (burst.kind === undefined || burst.kind === kind.name)).reduce((product, burst) => product * burst.times, 1);
			clock.after(random.exponential(groupMs) / times, () => {
				if (clock.now() >= load.durationMs) {
					return;
				}

				const zone = random.pick(load.zones);
				const size = random.integer(1, (2 * load.groupSize) - 1);
				for (let each = 0; each < size; each++) {
					const result = results.get(kind.name)!;
					result.asked++;
					result.owed += kind.worth;
					const planned = kind.stages.map(stage => ({
						service: stage.service, after: stage.after, resultBytes: stage.resultBytes, pieces: random.chance(stage.share ?? 1) ? Math.max(1, Math.round(stage.pieces * (0.5 + random.float()))) : 0,
					}));
					const name = `${kind.name} ${result.asked}`;
					open.add(name);
					void request(kind, planned, clock.now(), zone, false).finally(() => {
						open.delete(name);
					});
				}

				schedule();
			});
		};

		schedule();
	}

	await clock.advance(load.durationMs);
	while (open.size > 0) {
		await clock.advance(1000);

		await nextTurn();
	}

	const sum = (field: 'worth' | 'owed') => [...results.values()].reduce((total, result) => total + result[field], 0);
	return {
		kinds: results, worth: sum('worth'), owed: sum('owed'), wastedPieces: targets.pieces - usedPieces, pieces: targets.pieces, crossZoneMb: targets.crossZoneBytes / 1e6,
	};
}
