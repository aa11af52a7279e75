import fc from 'fast-check';
import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {EventRing} from '../events/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {
	LogUnavailableError, MemoryPlatformLog, type LogRecord, type PlatformLog,
} from '../platform-log/index.js';
import {Random} from '../random/index.js';
import {ConfigFollower} from './config-follower.js';
import {encodeConfigState} from './config-state.js';
import {ConfigWriter, type ApplyResult, type ChangeRequest} from './config-writer.js';
import type {Declaration} from './declarations.js';
import {emptyConfig, foldConfig} from './fold-config.js';
import {MemoryConfigPeers} from './memory-config-peers.js';

const seed = 11;
const vmCount = 4;
const actions = ['apply', 'apply', 'apply', 'invalid', 'repeat', 'outage', 'heal', 'lost', 'late', 'slow', 'partition', 'expire', 'restart', 'hint'] as const;
const step = fc.record({action: fc.constantFrom(...actions), vm: fc.nat(vmCount - 1), pauseMs: fc.constantFrom(0, 1, 50, 300, 1500, 7000)});
type Step = {action: typeof actions[number]; vm: number; pauseMs: number};
type Vm = {name: string; follower: ConfigFollower; writer: ConfigWriter; revisions: number[]; isPartitioned: boolean};

/** Entry VMs that share one log with injected faults. Retains every record for the comparison with a reference fold. */
class Simulation {
	readonly clock = ManualClock.create();
	readonly log = MemoryPlatformLog.create({clock: this.clock});
	readonly network = MemoryConfigPeers.create();
	readonly vms: Vm[] = Array.from({length: vmCount}, (_, index) => this.start(`vm-${index}`));
	readonly revisions: number[][] = this.vms.map(vm => vm.revisions);
	readonly answers: Array<{change: ChangeRequest; answer: Promise<ApplyResult>}> = [];
	readonly history = new Map<number, LogRecord>();

	start(name: string): Vm {
		const vm: Partial<Vm> & {isPartitioned: boolean; revisions: number[]} = {name, isPartitioned: false, revisions: []};
		const log: PlatformLog = {
			append: async (stream, records) => {
				if (vm.isPartitioned) {
					throw new LogUnavailableError('Cannot append: the entry VM is partitioned');
				}

				return this.log.append(stream, records);
			},
			read: async (...args) => {
				const page = vm.isPartitioned ? undefined : await this.log.read(...args);
				return page && !vm.isPartitioned ? page : Promise.reject(new Error('partitioned'));
			},
		};
		const {clock} = this;
		vm.follower = ConfigFollower.create({
			clock, log, events: EventRing.create({process: name, clock, capacity: 10}), logger: silentLoggerFactory('config'), random: Random.create(seed), snapshotMs: 3000, peers: this.network.join(name),
		});
		vm.follower.onChange(config => vm.revisions.push(config.revision));
		vm.writer = ConfigWriter.create({clock, log, follower: vm.follower});
		vm.follower.start();
		return vm as Vm;
	}

	async run({action, vm: index, pauseMs}: Step): Promise<void> {
		const vm = this.vms[index]!;
		switch (action) {
			case 'apply':
			case 'invalid': {
				this.#apply(vm, this.#createChange(vm.follower.current().revision, action === 'invalid'));
				break;
			}

			case 'repeat': {
				this.#apply(vm, this.answers.at(-1)?.change ?? this.#createChange(-1, false));

				break;
			}

			case 'partition': {
				vm.isPartitioned = !vm.isPartitioned;
				break;
			}

			case 'expire': {
				await this.#expireRecords();
				break;
			}

			case 'restart': {
				vm.follower.stop();
				this.vms[index] = this.start(vm.name);
				this.revisions.push(this.vms[index].revisions);
				break;
			}

			case 'hint': {
				vm.follower.hintOffset(1e9, 'vm-0');
				break;
			}

			default: {
				this.log.faults = {
					outage: {outage: true}, heal: {}, lost: {lostAppendAnswers: 1}, late: {lateAppends: 1, lateAppendMs: 8000}, slow: {slowMs: 400},
				}[action];
			}
		}

		await this.clock.advance(pauseMs);
	}

	/** Clears all faults, lets the entry VMs converge, and stops them. */
	async clearFaultsAndStop(): Promise<void> {
		this.log.faults = {};
		for (const vm of this.vms) {
			vm.isPartitioned = false;
		}

		await this.clock.advance(30_000);
		await this.#recordHistory();
		for (const vm of this.vms) {
			vm.follower.stop();
		}

		await this.clock.advance(2000);
	}

	/** Expires the records that the latest snapshot covers. */
	async #expireRecords(): Promise<void> {
		await this.#recordHistory();
		const snapshots = [...this.history.values()].filter(entry => (entry.record as {kind: string}).kind === 'snapshot');
		const latest = snapshots.at(-1)?.record as {offset: number} | undefined;
		if (latest) {
			this.log.expireBelow('config', latest.offset + 1);
		}
	}

	async #recordHistory(): Promise<void> {
		const {faults} = this.log;
		this.log.faults = {};
		const page = await this.log.read('config', 0, {max: 100_000});
		this.log.faults = faults;
		for (const entry of page.records) {
			this.history.set(entry.offset, entry);
		}
	}

	#createChange(base: number, isInvalid: boolean): ChangeRequest {
		const id = `c${this.answers.length}`;
		const set: Declaration[] = isInvalid
			? [{
				kind: 'model', name: 'm', pool: 'nothing', version: '1', adapters: [], weight_gb: 1,
			}]
			: [{
				kind: 'team', name: 'engravers', weight: this.answers.length + 1, priority: 5, deadline_ms: 9000,
			}];
		return {
			changeId: id, base, author: 'test', set, remove: [],
		};
	}

	#apply(vm: Vm, change: ChangeRequest): void {
		this.answers.push({change, answer: vm.writer.apply(change)});
	}
}

// Guards against wrong results of Apply, and against processes that diverge or revert, under any combination of races,
// outages, lost append responses, late appends, partitioned and restarted entry VMs, and expired records.
test('under random faults results are correct, revisions increase, and all processes converge', async () => {
	await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 5, maxLength: 40}), async steps => {
		const simulation = new Simulation();
		for (const each of steps) {
			await simulation.run(each);
		}

		await simulation.clearFaultsAndStop();
		const accepted = new Map<string, number>();
		let reference = emptyConfig;
		for (let offset = 0; offset < simulation.history.size; offset++) {
			const {config, verdict, changeId} = foldConfig(reference, simulation.history.get(offset)!);
			reference = config;
			if (verdict === 'accepted') {
				expect(accepted.has(changeId!)).toBe(false);
				accepted.set(changeId!, config.revision);
			}
		}

		for (const {change: {changeId: id}, answer} of simulation.answers) {
			const result = await answer;
			if (result.type === 'accepted') {
				expect(accepted.get(id)).toBe(result.revision);
			} else if (result.type === 'conflict' || result.type === 'invalid') {
				expect(accepted.has(id)).toBe(false);
			}
		}

		for (const {follower} of simulation.vms) {
			expect(encodeConfigState(follower.current(), [])).toEqual(encodeConfigState({...reference, offset: follower.current().offset}, []));
		}

		for (const revisions of simulation.revisions) {
			expect(revisions.every((revision, index) => index === 0 || revision > revisions[index - 1]!)).toBe(true);
			expect(revisions.filter(revision => ![...accepted.values()].includes(revision))).toEqual([]);
		}
	}), {seed, numRuns: 60});
});
