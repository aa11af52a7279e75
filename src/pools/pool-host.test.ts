import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {TargetRegistry} from '../registry/index.js';
import {PoolHost} from './pool-host.js';
import type {StageCallOutcome} from './stage-job.js';
import type {StagePlan} from './stage-plan.js';
import type {StageTargetCall, StageTargetPort} from './stage-target-port.js';

const limits = {
	slots: 1, queue: 2, batch: 7, callMs: 200, pieceMs: 10, resultMemoryMb: 15, resultTtlMs: 4000,
};

class FakeTargets implements StageTargetPort {
	readonly calls: StageTargetCall[] = [];
	isFailing = false;

	constructor(private readonly clock: ManualClock) {}

	async run(call: StageTargetCall): Promise<StageCallOutcome> {
		this.calls.push(call);
		await this.clock.sleep(300);
		return this.isFailing ? {kind: 'failed'} : {kind: 'done', results: call.pieces.map(({job, piece}) => ({handle: `10.0.0.1:80/${job.id}/${piece}`}))};
	}

	async free(): Promise<void> {
		await this.clock.sleep(1);
	}

	producerOf(handle: string): string {
		return handle.split('/', 1)[0]!;
	}
}

function create(isOwnZone: (zone: string) => boolean = () => true) {
	const clock = ManualClock.create();
	const logger = silentLoggerFactory('pools');
	const registry = TargetRegistry.create({clock, logger});
	registry.put({
		id: 't1', service: 'archive', address: '10.0.0.1:80', zone: 'riga-a', slots: 1, isDraining: false, startedMs: 0,
	});
	const port = new FakeTargets(clock);
	const host = PoolHost.create({
		clock,
		logger,
		registry,
		port,
		retryLimits: {windowMs: 10_000, ratio: 0.2, slack: 50},
		share: () => 1,
		isOwnZone,
		service: name => ({
			name, maxConnections: 10, engineSlots: undefined, stagePool: limits,
		}),
	});
	return {
		clock, host, port, registry,
	};
}

const plan = (attemptId: string, resultBytes = 8000): StagePlan => ({
	attemptId, stages: [{
		service: 'archive', after: [], resultBytes, pieces: 4,
	}], pieceKey: attemptId, zone: 'riga-a', priority: 0, callByMs: 5000, deadlineMs: 8000,
});

describe('PoolHost', () => {
	// Guards against the loss of queued plans when the host of the pools shuts down.
	it('hands over plans of which nothing has started and finishes the others', async () => {
		const {clock, host, port} = create();
		const {signal} = new AbortController();
		const first = host.run(plan('r1'), signal);
		await clock.advance(50);
		const second = host.run(plan('r2'), signal);
		await clock.advance(50);
		expect(port.calls).toHaveLength(1);
		host.handOver();
		await expect(second).resolves.toMatchObject({failure: 'host_left'});
		await clock.advance(1000);
		await expect(first).resolves.toHaveProperty('results.length', 4);
		expect(port.calls).toHaveLength(1);
	});

	// Guards against hosts of several cells that fill the places of each other's targets, and against a cell without targets
	// that serves nobody.
	it('uses the targets of its own zones, and those of others only while it has none', async () => {
		const {clock, host, port, registry} = create(zone => zone === 'liepaja-a');
		const {signal} = new AbortController();
		const runPlan = async (id: string) => {
			const outcome = host.run(plan(id), signal);
			await clock.advance(50);
			await clock.advance(500);
			await outcome;
		};

		await runPlan('r1');
		registry.put({
			id: 't2', service: 'archive', address: '10.0.0.2:80', zone: 'liepaja-a', slots: 1, isDraining: false, startedMs: 0,
		});
		await runPlan('r2');
		await runPlan('r3');
		expect(port.calls.map(({target}) => target.id)).toEqual(['t1', 't2', 't2']);
	});

	// Guards against calls that run out of memory because plans of the previous host still hold results at the targets.
	it('uses less memory just after a takeover and all of it later', async () => {
		const {clock, host, port} = create();
		const {signal} = new AbortController();
		host.takeOver();
		const large = 2_500_000;
		const first = host.run(plan('r1', large), signal);
		await clock.advance(50);
		expect(port.calls.map(call => call.pieces.length)).toEqual([3]);
		await clock.advance(5000);
		const outcome = await first;
		host.free('results' in outcome ? outcome.results.map(({handle}) => handle) : []);
		await clock.advance(1000);
		const last = host.run({...plan('r3', large), callByMs: 20_000, deadlineMs: 30_000}, signal);
		await clock.advance(50);
		await clock.advance(1000);
		await last;
		expect(port.calls.at(-1)!.pieces).toHaveLength(4);
	});

	it('applies changed retry limits to existing pools', async () => {
		const {clock, host, port} = create();
		const {signal} = new AbortController();
		const first = host.run(plan('r1'), signal);
		await clock.advance(50);
		await clock.advance(1000);
		await first;
		port.isFailing = true;
		host.setRetryLimits({windowMs: 10_000, ratio: 0, slack: 0});
		const second = host.run(plan('r2'), signal);
		await clock.advance(50);
		await clock.advance(1000);
		await expect(second).resolves.toMatchObject({failure: 'failed'});
		expect(port.calls).toHaveLength(2);
	});
});
