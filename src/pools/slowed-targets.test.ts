import {expect, it} from 'vitest';
import {Random} from '../random/index.js';
import {PoolSimulation, type SimulatedKind} from './test/pool-simulation.js';

const limits = {
	slots: 1, queue: 2, batch: 12, callMs: 200, pieceMs: 14, resultMemoryMb: 27, resultTtlMs: 4000,
};
const kinds: SimulatedKind[] = [
	{
		name: 'large', priority: 1, stages: 1, pieces: [4, 10], pieceMs: 14, resultBytes: 1_500_000, callInMs: 900, deadlineInMs: 4000, fetchMs: 150, perSecond: () => 12,
	},
	{
		name: 'chain', priority: 0, stages: 3, pieces: [2, 6], pieceMs: 4, resultBytes: 8000, callInMs: 1200, deadlineInMs: 4000, fetchMs: 100, perSecond: () => 9,
	},
];
/** Slows each target down by 2.5 for 0.6 s, at random times about 2.6 s apart. */
function slowPhases(seed: number): (target: string, now: number) => number {
	const random = Random.create(seed);
	const phases = new Map<string, number[]>();
	for (let target = 0; target < 10; target++) {
		const starts: number[] = [];
		for (let at = random.integer(0, 2000); at < 25_000; at += 600 + random.integer(0, 4000)) {
			starts.push(at);
		}

		phases.set(`t${target}`, starts);
	}

	return (target, now) => phases.get(target)!.some(start => now >= start && now < start + 600) ? 2.5 : 1;
}

function served(isLoadReported: boolean): {chain: number; large: number} {
	const sum = {chain: 0, large: 0};
	const seeds = [1, 2, 3, 4, 5, 6];
	for (const seed of seeds) {
		const simulation = PoolSimulation.create({
			limits, targets: 10, kinds, seed, slowdown: slowPhases(seed), isLoadReported,
		});
		simulation.runUntil(22_000);
		sum.chain += simulation.served('chain', 3000, 20_000) / seeds.length;
		sum.large += simulation.served('large', 3000, 20_000) / seeds.length;
	}

	return sum;
}

// Guards against urgent jobs at targets that other work slows down for a moment, and against targets that are avoided for
// long after it.
it('serves more plans of short stages in time when slowed targets tell their load', () => {
	const reported = served(true);
	const unreported = served(false);
	// 0.915 before the load was used.
	expect(reported.chain).toBeGreaterThan(0.93);
	expect(reported.chain).toBeGreaterThan(unreported.chain + 0.01);
	expect(reported.large).toBeGreaterThan(0.97);
});
