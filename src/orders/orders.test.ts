import {expect, test} from 'vitest';
import fc from 'fast-check';
import {ManualClock} from '../clock/index.js';
import {StaticConfigView, type Declaration} from '../config/index.js';
import {EventRing} from '../events/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {MemoryPlatformLog} from '../platform-log/index.js';
import {Random} from '../random/index.js';
import {
	DeclaredTargets, httpPortFactory, type EngineOrder, type EnginePort, type EngineState,
} from '../targets/index.js';
import {foldLeases, type LeaseTable} from './lease-fold.js';
import {LeaseService} from './lease-service.js';
import {EngineReconciler} from './engine-reconciler.js';
import {WeightBudget} from './weight-budget.js';

const settleMs = 500;
const longestOrderMs = 200;

/** Engine that stores the ordered state and, if it checks fencing, refuses orders with an old fencing token. */
class FakeEngine {
	state: EngineState = {
		model: '', version: '0', adapters: [], role: 'both',
	};

	highestFencing = -1;
	constructor(readonly checksFencing: boolean) {}

	receive(order: EngineOrder): 'accepted' | 'refused' {
		if (this.checksFencing && order.fencing < this.highestFencing) {
			return 'refused';
		}

		this.highestFencing = Math.max(this.highestFencing, order.fencing);
		this.state = order.state;
		return 'accepted';
	}
}

const declarations = (version: string): Declaration[] => [
	{kind: 'zone', name: 'a', region: 'R'},
	{
		kind: 'pool', name: 'engines', type: 'engine', prefill_ms_per_token: 0, decode_ms_per_token: 0, service_ms: 0, cost_per_second: 0, lookup: false,
	},
	...['checking', 'ignoring'].map(name => ({
		kind: 'target' as const, name, zone: 'a', pool: 'engines', address: 'http://127.0.0.1:1', slots: 1, checks_fencing: name === 'checking',
	})),
	{
		kind: 'model', name: 'm', pool: 'engines', version, adapters: [], weight_gb: 1,
	},
];

/** Creates a process that competes for the lease. While `isPaused`, its orders are delayed in `delayedOrders`. */
function createNode(name: string, parts: {clock: ManualClock; log: MemoryPlatformLog; engines: Map<string, FakeEngine>; version: string}) {
	const {clock, log, engines, version} = parts;
	const config = StaticConfigView.create(declarations(version));
	const events = EventRing.create({process: name, clock});
	const node = {delayedOrders: [] as Array<() => void>, isPaused: false};
	const targets = DeclaredTargets.create({
		config,
		clock,
		events,
		ports: {
			...httpPortFactory,
			engine(declaration) {
				const engine = engines.get(declaration.name)!;
				const port: Partial<EnginePort> = {
					state: async () => engine.state,
					order: async order => node.isPaused
						? new Promise(resolve => {
							node.delayedOrders.push(() => {
								resolve(engine.receive(order));
							});
						})
						: engine.receive(order),
				};
				return port as EnginePort;
			},
		},
	});
	const logger = silentLoggerFactory('orders');
	const lease = LeaseService.create({
		clock, log, events, logger, random: Random.create(name.length), holder: name, scope: 'orders', ttlMs: 3000, settleMs,
	});
	const reconciler = EngineReconciler.create({
		clock, config, targets, lease, budget: WeightBudget.create({clock, gbPerSecond: 10, burstGb: 10}), events, logger, longestOrderMs,
	});
	return Object.assign(node, {lease, reconciler});
}

// Guards against a late order of a paused former holder that stays in effect, at engines with and without fencing checks.
test('a late order of a former holder has no lasting effect', async () => {
	const clock = ManualClock.create();
	const log = MemoryPlatformLog.create({clock});
	const engines = new Map([['checking', new FakeEngine(true)], ['ignoring', new FakeEngine(false)]]);
	const old = createNode('old', {
		clock, log, engines, version: '1',
	});
	old.isPaused = true;
	old.lease.start();
	old.reconciler.start();
	await clock.advance(2500);
	expect(old.lease.state).toBe('holding');
	expect(old.delayedOrders).toHaveLength(1);
	// The old holder stops while its order is in flight, and a new holder takes over.
	old.lease.stop();
	old.reconciler.stop();
	const fresh = createNode('fresh-one', {
		clock, log, engines, version: '2',
	});
	fresh.lease.start();
	fresh.reconciler.start();
	await clock.advance(8000);
	expect(engines.get('ignoring')!.state.version).toBe('2');
	for (const deliver of old.delayedOrders) {
		deliver();
	}

	await clock.advance(100);
	expect(engines.get('checking')!.state.version).toBe('2');
	const ignoring = engines.get('ignoring')!;
	ignoring.receive({
		fencing: 0, state: {
			model: 'm', version: '1', adapters: [], role: 'both',
		},
	});
	expect(ignoring.state.version).toBe('1');
	await clock.advance(2000);
	expect(ignoring.state.version).toBe('2');
	fresh.lease.stop();
	fresh.reconciler.stop();
});

// Guards against two concurrent holders in log order, and against fencing tokens that do not increase when the holder changes.
test('at most one holder at a time and increasing fencing tokens over any records', () => {
	const steps = fc.array(fc.record({holder: fc.constantFrom('a', 'b', 'c'), gap: fc.integer({min: 0, max: 300}), release: fc.boolean()}), {maxLength: 40});
	fc.assert(fc.property(steps, records => {
		let table: LeaseTable = new Map();
		let atMs = 0;
		for (const [offset, step] of records.entries()) {
			atMs += step.gap;
			const before = table.get('s');
			table = foldLeases(table, {
				offset, atMs, record: step.release
					? {
						kind: 'release', id: `${offset}`, scope: 's', holder: step.holder,
					}
					: {
						kind: 'lease', id: `${offset}`, scope: 's', holder: step.holder, ttlMs: 200,
					},
			});
			const after = table.get('s');
			if (before && after && after.holder !== before.holder) {
				expect(atMs).toBeGreaterThanOrEqual(before.expiresAtMs);
				expect(after.fencing).toBeGreaterThan(before.fencing);
			}
		}
	}), {seed: 5, numRuns: 500});
});

// Guards against orders of a holder that cannot renew its lease during an outage of the log.
test('a holder stops sending orders when its lease cannot be renewed', async () => {
	const clock = ManualClock.create();
	const log = MemoryPlatformLog.create({clock});
	const node = createNode('only', {
		clock, log, engines: new Map([['checking', new FakeEngine(true)], ['ignoring', new FakeEngine(false)]]), version: '1',
	});
	node.lease.start();
	await clock.advance(2500);
	expect(node.lease.state).toBe('holding');
	log.faults = {outage: true};
	await clock.advance(4000);
	expect(node.lease.remainingMs()).toBe(0);
	expect(node.lease.fencing).toBeUndefined();
	log.faults = {};
	await clock.advance(6000);
	expect(node.lease.state).toBe('holding');
	node.lease.stop();
});

// Guards against loads that exceed the rate limit of the weight store.
test('loads beyond the budget wait', async () => {
	const clock = ManualClock.create();
	const budget = WeightBudget.create({clock, gbPerSecond: 1, burstGb: 10});
	expect(budget.take(8)).toBe(true);
	expect(budget.take(8)).toBe(false);
	await clock.advance(6000);
	expect(budget.take(8)).toBe(true);
});
