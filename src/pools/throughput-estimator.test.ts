import {expect, it} from 'vitest';
import {ThroughputEstimator} from './throughput-estimator.js';

const limits = {
	slots: 1, queue: 2, batch: 7, callMs: 200, pieceMs: 24, resultMemoryMb: 15, resultTtlMs: 4000,
};

// Guards against a process that runs out of heap after days without late work: every call was remembered for good.
it('remembers the on-time calls of its window only', () => {
	const estimator = ThroughputEstimator.create();
	for (let now = 0; now < 100_000; now += 10) {
		estimator.recordCall({
			pieces: 5, batch: 7, hasBacklog: false, isLate: now % 20 === 0, expectedMs: 320,
		}, now);
	}

	expect(estimator.rememberedCalls).toBeLessThanOrEqual(101);
	const sparePiecesPerMs = estimator.sparePiecesPerMs(100, limits, 100_000);
	expect(estimator.piecesPerMs(100, limits) - sparePiecesPerMs).toBeCloseTo(0.25, 2);
	expect(estimator.sparePiecesPerMs(100, limits, 200_000)).toBe(estimator.piecesPerMs(100, limits));
	expect(estimator.rememberedCalls).toBe(0);
});

// Guards against forecasts by the small calls of late jobs, which made all further jobs late.
it('does not learn the size of calls from late ones, and measures the time of on-time ones for a whole window', () => {
	const estimator = ThroughputEstimator.create();
	for (let now = 0; now <= 4000; now += 100) {
		estimator.recordCall({
			pieces: 1, batch: 7, hasBacklog: true, isLate: now % 400 !== 0, expectedMs: 200,
		}, now);
		if (now < 2000) {
			expect(estimator.onTimeShare(1, now)).toBeUndefined();
		}
	}

	expect(estimator.piecesPerCall(limits)).toBeGreaterThan(1.5);
	expect(estimator.onTimeShare(1, 4000)).toBeCloseTo(0.6, 1);
});
