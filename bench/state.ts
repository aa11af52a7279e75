// `npm run bench:state`: measures the heap bytes of one entry VM per team, target, peer, event and cached prefix.
import process from 'node:process';
import v8 from 'node:v8';
import vm from 'node:vm';
import {ManualClock} from '../src/clock/index.js';
import {DeclarationSet, StaticConfigView, type Declaration} from '../src/config/index.js';
import {EventRing} from '../src/events/index.js';
import {Random} from '../src/random/index.js';
import {PrefixIndex} from '../src/routing/index.js';
import {DeclaredTargets, httpPortFactory} from '../src/targets/index.js';
import {FairScheduler, type ZoneDigest} from '../src/teams/index.js';

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;
/** All structures built so far. They are retained so that garbage collection does not free one during a later measurement. */
const retained: unknown[] = [];

function heapBytes(): number {
	collectGarbage();
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

/** Builds a structure at several sizes; prints the least-squares slope in bytes per unit and the largest residual. */
function measureSlope(name: string, sizes: readonly number[], build: (size: number) => unknown): void {
	retained.push(build(10));
	const points = sizes.map(size => {
		const before = heapBytes();
		retained.push(build(size));
		return {x: size, y: heapBytes() - before};
	});
	const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length;
	const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length;
	const perUnit = points.reduce((sum, {x, y}) => sum + ((x - meanX) * (y - meanY)), 0) / points.reduce((sum, {x}) => sum + ((x - meanX) ** 2), 0);
	const residual = Math.max(...points.map(({x, y}) => Math.abs(y - meanY - (perUnit * (x - meanX)))));
	console.log(`${name.padEnd(34)} ${perUnit.toFixed(0).padStart(7)} B each, largest residual ${(residual / 1024).toFixed(1)} KiB`);
}

const clock = ManualClock.create();
const events = EventRing.create({process: 'bench', clock, capacity: 10});
const team = (index: number): Declaration => ({
	kind: 'team', name: `team-${index}`, weight: 1, priority: 5, deadline_ms: 9000,
});
const pool: Declaration = {
	kind: 'pool', name: 'engines', type: 'engine', prefill_ms_per_token: 0.1, decode_ms_per_token: 10, service_ms: 0, cost_per_second: 1, lookup: false,
};
const target = (index: number): Declaration => ({
	kind: 'target', name: `engine-${index}`, zone: 'a', pool: 'engines', address: `http://127.0.0.1:${10_000 + index}`, slots: 8, checks_fencing: false,
});
const zone: Declaration = {kind: 'zone', name: 'a', region: 'R'};
const arrayOf = <T>(count: number, make: (index: number) => T): T[] => Array.from({length: count}, (_, index) => make(index));

function digest(peer: number, rows: number): ZoneDigest {
	return {
		process: `vm-${peer}`,
		incarnation: `i${peer}`,
		sequence: 1,
		work: arrayOf(rows, index => ({
			team: `team-${index}`, pool: 'engines', inFlightMs: 100, queuedMs: 50,
		})),
		inFlight: arrayOf(rows, index => ({target: `engine-${index}`, calls: 2})),
		draining: [],
		configOffset: 1,
	};
}

measureSlope('declared team', [300, 600, 1200], size => DeclarationSet.create(arrayOf(size, team)));
measureSlope('declared target', [200, 400, 890], size => DeclarationSet.create(arrayOf(size, target)));
measureSlope('target with ports, not connected', [200, 400, 890], size => DeclaredTargets.create({
	config: StaticConfigView.create([zone, pool, ...arrayOf(size, target)]), events, clock, ports: httpPortFactory,
}));
measureSlope('peer digest of 50 teams, 50 targets', [20, 40, 75], size => {
	const digests = arrayOf(size, index => digest(index, 50));
	const config = StaticConfigView.create([zone, pool, ...arrayOf(50, target), ...arrayOf(50, team)]);
	const scheduler = FairScheduler.create({
		clock,
		config,
		targets: DeclaredTargets.create({
			config, events, clock, ports: httpPortFactory,
		}),
		zone: 'a',
		zoneView: {peerDigests: () => digests},
		random: Random.create(1),
	});
	return {digests, scheduler, digest: scheduler.localDigest()};
});
measureSlope('time line event', [5000, 10_000, 20_000], size => {
	const ring = EventRing.create({process: 'bench', clock, capacity: size});
	for (let index = 0; index < size; index++) {
		ring.record({
			kind: 'attempt_sent', requestId: `request-${index}`, team: 'team-1', stage: 'generate', attempt: 1, target: 'engine-1',
		});
	}

	return ring;
});
measureSlope('cached prefix in the index', [5000, 10_000, 20_000], size => {
	const index = PrefixIndex.create({capacity: size, totalCapacity: size});
	const targets = DeclaredTargets.create({
		config: StaticConfigView.create([zone, pool, target(1)]), events, clock, ports: httpPortFactory,
	});
	for (let count = 0; count < size; count++) {
		index.recordDispatch(targets.get('engine-1')!, [{hash: `prefix${count}`, tokens: 100}]);
	}

	return index;
});
console.log(`retained ${retained.length} structures`);
