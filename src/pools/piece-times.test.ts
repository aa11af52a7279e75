import {expect, it} from 'vitest';
import {Random} from '../random/index.js';
import {PieceTimes} from './piece-times.js';

const limits = {
	slots: 1, queue: 2, batch: 12, callMs: 200, pieceMs: 14, resultMemoryMb: 27, resultTtlMs: 4000,
};
const large = {stage: 0, resultBytes: 1_500_000};
const small = {stage: 1, resultBytes: 8000};

// Guards against forecasts by the declared time of a piece, by which plans of small pieces look late although they are not.
it('learns the times of two kinds from calls that hold both, at targets that are slow now and then', () => {
	const times = PieceTimes.create();
	const random = Random.create(3);
	expect(times.callMs([{kind: small, pieces: 10}], limits)).toBe(340);
	for (let call = 0; call < 300; call++) {
		const parts = [{kind: large, pieces: random.integer(0, 6)}, {kind: small, pieces: random.integer(0, 6)}];
		times.record(parts, (230 + (14 * parts[0]!.pieces) + (4 * parts[1]!.pieces)) * (random.chance(0.03) ? 2.5 : 1), limits);
	}

	expect(times.pieceMs(large, limits)).toBeCloseTo(14, -1);
	expect(Math.abs(times.callMs([{kind: small, pieces: 6}], limits) - 254)).toBeLessThan(20);
	expect(Math.abs(times.callMs([{kind: large, pieces: 6}], limits) - 314)).toBeLessThan(20);
	expect(times.safeCallMs([{kind: small, pieces: 10}], limits)).toBeLessThan(320);
	expect(times.jobCallMs({kind: small, pieces: 1}, limits)).toBeCloseTo(times.callMs([{kind: small, pieces: 1}], limits));
});

// Guards against negative times of calls, and so negative waits, after the declared fixed time has become shorter.
it('limits the learned correction of the fixed time to the declared one that is in force', () => {
	const times = PieceTimes.create();
	for (let call = 0; call < 50; call++) {
		times.record([{kind: large, pieces: 1}], 120, limits);
	}

	expect(times.fixedMs(limits)).toBe(140);
	expect(times.fixedMs({...limits, callMs: 20})).toBe(14);
});
