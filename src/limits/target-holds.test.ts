import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {Random} from '../random/index.js';
import {RelayTarget} from '../registry/index.js';
import {maxHoldMs} from './hold-duration.js';
import {TargetHolds} from './target-holds.js';

const createTarget = (startedMs = 1) => RelayTarget.create({
	id: 't-1', service: 'desk', address: '127.0.0.1:1', zone: 'riga-a', slots: 4, isDraining: false, startedMs,
});

function setUp(seed = 1) {
	const clock = ManualClock.create({now: 1000});
	const holds = TargetHolds.create({clock, logger: silentLoggerFactory('targets'), random: Random.create(seed)});
	return {clock, holds, target: createTarget()};
}

describe('TargetHolds', () => {
	it('holds a target back for the time that it asks for, and a little longer', async () => {
		const {clock, holds, target} = setUp();
		let withdrawn = 0;
		target.watchUnsent(() => {
			withdrawn++;
		});
		holds.observe(target, 2000);
		holds.observe(target, 500);
		await clock.advance(1999);
		expect([holds.isHeld(target), holds.isAddressHeld('127.0.0.1:1'), holds.size, withdrawn, holds.free([target])]).toEqual([true, true, 1, 1, []]);
		await clock.advance(402);
		expect([holds.isHeld(target), holds.isAddressHeld('127.0.0.1:1'), holds.hasAny, holds.returnMs([target])]).toEqual([false, false, false, undefined]);
	});

	it.each([undefined, Number.NaN, 0])('does not hold a target back for %j', retryAfterMs => {
		const {holds, target} = setUp();
		holds.observe(target, retryAfterMs);
		expect([holds.isHeld(target), holds.hasAny]).toEqual([false, false]);
	});

	it('asks a target that names a very long time again', async () => {
		const {holds, target} = setUp();
		holds.observe(target, Infinity);
		expect(holds.heldForMs(target)).toBeGreaterThanOrEqual(maxHoldMs);
		expect(holds.heldForMs(target)).toBeLessThanOrEqual(maxHoldMs + 1000);
	});

	// Guards against a restarted target that stays held back, and one that is forgotten when it is listed again after an outage of the store.
	it('takes a start of a target for the same one also when it is listed again, and another start for another one', () => {
		const {holds, target} = setUp();
		holds.observe(target, 2000);
		expect([holds.isHeld(createTarget()), holds.isHeld(createTarget(2))]).toEqual([true, false]);
	});

	// Guards against entry VMs, and callers that were rejected, which all return in the same moment.
	it.each([9, 200])('spreads the return of %d entry VMs, and of their callers, none of which comes early', entryVms => {
		const returns = Array.from({length: entryVms}, (_, seed) => {
			const {holds, target} = setUp(seed);
			holds.observe(target, 2000);
			return {heldMs: holds.heldForMs(target), callerMs: holds.returnMs([target])!};
		});
		for (const times of [returns.map(({heldMs}) => heldMs), returns.map(({callerMs}) => callerMs)]) {
			expect(Math.min(...times)).toBeGreaterThanOrEqual(2000);
			expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(250);
			const windows = new Map<number, number>();
			for (const time of times) {
				windows.set(Math.floor(time / 50), (windows.get(Math.floor(time / 50)) ?? 0) + 1);
			}

			expect(Math.max(...windows.values())).toBeLessThanOrEqual(Math.ceil(entryVms / 3));
		}

		expect(returns.every(({heldMs, callerMs}) => callerMs >= heldMs)).toBe(true);
	});
});
