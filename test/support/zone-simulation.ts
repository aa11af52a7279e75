import type {ManualClock, Ms} from '../../src/clock/index.js';
import {
	DeclarationSet, StaticConfigView, type Declaration, type Pipeline,
} from '../../src/config/index.js';
import {Random} from '../../src/random/index.js';
import type {ShareClass} from '../../src/targets/index.js';
import {
	type AcquireError, FairScheduler, type Grant, type ZoneDigest,
} from '../../src/teams/index.js';
import {FakeTargets} from './fake-targets.js';
import {pipelineOf} from './policy-declarations.js';

/** Result of a simulated request. */
export type SimulatedResult = {outcome: string; waitMs: Ms; totalMs: Ms; shareClass?: ShareClass; predictedMs: Ms; attempts: number};

/** Parameters of a simulated request. */
export type SimulatedRequest = {team: string; serviceMs: Ms; deadlineMs?: Ms; skipAdmission?: boolean; failedTargets?: readonly string[]; idempotent?: boolean};

type Job = {ms: Ms; shareClass: ShareClass; start: () => void};

/** Simulated target that runs `slots` calls at a time and queues the others; calls within their team's share run first. */
class SimulatedTarget {
	/** Number of calls in progress. */
	running = 0;
	/** Highest number of queued calls so far. */
	mostQueued = 0;
	readonly #queue: Job[] = [];

	constructor(private readonly clock: ManualClock, private readonly slots: number) {}

	get queued(): number {
		return this.#queue.length;
	}

	/** Runs a call; resolves with true when it is complete and with false when it is cancelled. */
	async run(ms: Ms, shareClass: ShareClass, signal: AbortSignal): Promise<boolean> {
		return new Promise(resolve => {
			let isSettled = false;
			const settle = (isComplete: boolean) => {
				if (!isSettled) {
					isSettled = true;
					const index = this.#queue.indexOf(job);
					if (index === -1) {
						this.running--;
					} else {
						this.#queue.splice(index, 1);
					}

					this.#fill();
					resolve(isComplete);
				}
			};

			const job: Job = {
				ms,
				shareClass,
				start: () => {
					this.clock.after(ms, () => {
						settle(true);
					});
				},
			};
			signal.addEventListener('abort', () => {
				settle(false);
			});
			this.#queue.push(job);
			this.#fill();
			this.mostQueued = Math.max(this.mostQueued, this.#queue.length);
		});
	}

	#fill(): void {
		while (this.running < this.slots && this.#queue.length > 0) {
			const preferred = this.#queue.findIndex(job => job.shareClass === 'within');
			const [job] = this.#queue.splice(Math.max(0, preferred), 1);
			this.running++;
			job!.start();
		}
	}
}

/** Entry VMs of one zone, each with its own scheduler, on shared targets. They exchange digests every second of a manual clock. */
export class ZoneSimulation {
	static create(options: {clock: ManualClock; declarations: readonly Declaration[]; entryVms: number; zone: string; seed: number}): ZoneSimulation {
		return new ZoneSimulation(options);
	}

	readonly schedulers: FairScheduler[] = [];
	readonly registries: FakeTargets[] = [];
	readonly targets = new Map<string, SimulatedTarget>();
	readonly #digests: ZoneDigest[] = [];
	readonly #pipeline: Pipeline;
	readonly #clock: ManualClock;
	#requests = 0;

	private constructor({clock, declarations, entryVms, zone, seed}: {clock: ManualClock; declarations: readonly Declaration[]; entryVms: number; zone: string; seed: number}) {
		const set = DeclarationSet.create(declarations);
		const config = StaticConfigView.create(declarations);
		this.#clock = clock;
		this.#pipeline = pipelineOf(declarations);
		for (const {name, slots} of set.targets()) {
			this.targets.set(name, new SimulatedTarget(clock, slots));
		}

		for (let vm = 0; vm < entryVms; vm++) {
			const registry = FakeTargets.create(set);
			this.registries.push(registry);
			this.schedulers.push(FairScheduler.create({
				clock, config, targets: registry, zone, random: Random.create(seed + vm), zoneView: {peerDigests: () => this.#digests.filter(digest => digest.process !== `vm-${vm}`)},
			}));
			this.#publish(vm, 0);
		}
	}

	/** Runs a request at an entry VM until it ends; a revoked attempt is retried. */
	async request(vm: number, request: SimulatedRequest): Promise<SimulatedResult> {
		const startedAt = this.#clock.now();
		const scheduler = this.schedulers[vm]!;
		const remainingMs = request.deadlineMs ?? this.#pipeline.deadline_ms;
		const requestId = `request-${++this.#requests}`;
		const prompt = [{id: 'input', text: ''}];
		const admission = scheduler.admit({
			requestId, team: request.team, pipeline: this.#pipeline, prompt, maxTokens: 1, remainingMs,
		});
		const result = {waitMs: 0, predictedMs: admission.predictedMs, attempts: 0};
		if (!admission.admitted && !request.skipAdmission) {
			return {...result, outcome: admission.reason, totalMs: 0};
		}

		for (let attempt = 1; ; attempt++) {
			const queuedAt = this.#clock.now();
			let grant: Grant;
			try {
				grant = await scheduler.acquire({
					requestId, team: request.team, pipeline: this.#pipeline, stage: this.#pipeline.stages[0]!, attempt, prompt, maxTokens: 1, deadlineMs: startedAt + remainingMs, failedTargets: request.failedTargets ?? [], idempotent: request.idempotent ?? true,
				}, new AbortController().signal);
			} catch (err) {
				return {...result, outcome: (err as AcquireError).failure, totalMs: this.#clock.now() - startedAt};
			}

			result.waitMs += this.#clock.now() - queuedAt;
			result.attempts = attempt;
			const sentAt = this.#clock.now();
			const isComplete = await this.targets.get(grant.target.name)!.run(request.serviceMs, grant.shareClass, grant.revoked);
			grant.settle({outcome: isComplete ? 'ok' : 'cancelled', serviceMs: this.#clock.now() - sentAt});
			if (isComplete) {
				const totalMs = this.#clock.now() - startedAt;
				return {
					...result, outcome: totalMs <= remainingMs ? 'ok' : 'late', totalMs, shareClass: grant.shareClass,
				};
			}
		}
	}

	#publish(vm: number, sequence: number): void {
		this.#digests[vm] = {
			process: `vm-${vm}`, incarnation: 'i1', sequence, ...this.schedulers[vm]!.localDigest(), draining: [], configOffset: 0,
		};
		// The entry VMs publish at different offsets within each second.
		this.#clock.after(sequence === 0 ? 100 * (vm + 1) : 1000, () => {
			this.#publish(vm, sequence + 1);
		});
	}
}
