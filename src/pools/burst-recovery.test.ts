import {expect, it} from 'vitest';
import {PoolSimulation} from './test/pool-simulation.js';

const limits = {
	slots: 1, queue: 2, batch: 30, callMs: 200, pieceMs: 3, resultMemoryMb: 9, resultTtlMs: 4000,
};
const burstMs = {from: 5000, to: 10_000};

// Guards against a pool that stays at small calls, one for every two free targets, long after a burst: late jobs got half of
// the targets and of the memory only, and forecasts by the size of their calls made further jobs late.
it.each([1, 2, 3, 4])('works off the backlog of a burst at its full rate and then serves the usual load (seed %i)', seed => {
	const simulation = PoolSimulation.create({
		limits,
		targets: 4,
		kinds: [{
			name: 'chain',
			priority: 1,
			stages: 3,
			pieces: [4, 8],
			pieceMs: 3,
			resultBytes: 250_000,
			callInMs: 1500,
			deadlineInMs: 6000,
			fetchMs: 500,
			perSecond: now => now >= burstMs.from && now < burstMs.to ? 12.5 : 5,
		}],
		seed,
	});
	simulation.runUntil(burstMs.to);
	const {backlog} = simulation.pool;
	const isInBurst = ({startedMs}: {startedMs: number}) => startedMs >= burstMs.from;
	const fullRatePerMs = simulation.calls.filter(call => isInBurst(call)).reduce((sum, {call}) => sum + call.pieces.length, 0) / (burstMs.to - burstMs.from);
	const recoveredMs = burstMs.to + (backlog / fullRatePerMs) + 1000;
	simulation.runUntil(recoveredMs + 10_000);
	const waiting = simulation.calls.filter(({startedMs}) => startedMs >= recoveredMs).map(call => call.backlog);
	const callsInBurst = simulation.calls.filter(call => isInBurst(call) && call.startedMs < burstMs.to).length;
	// Each of the four targets completes more than three calls of 30 pieces per second.
	expect(callsInBurst).toBeGreaterThan(4 * 3 * 5);
	expect(Math.max(...waiting)).toBeLessThan(limits.batch * 2);
	expect(simulation.served('chain', recoveredMs, recoveredMs + 9000)).toBeGreaterThan(0.9);
});
