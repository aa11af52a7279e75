import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {RelayTarget} from '../registry/index.js';
import {TargetLimits} from './target-limits.js';

function setUp() {
	const clock = ManualClock.create({now: 1000});
	const limits = TargetLimits.create({clock, logger: silentLoggerFactory('targets')});
	const target = RelayTarget.create({
		id: 'e-1', service: 'engines', address: '127.0.0.1:1', zone: 'riga-a', slots: 4, isDraining: false, startedMs: 1,
	});
	return {clock, limits, target};
}

describe('TargetLimits', () => {
	it('holds a limit for as long as responses to later requests name it', async () => {
		const {clock, limits, target} = setUp();
		limits.observe(target, {perSecond: 0.5, sentMs: 900});
		await clock.advance(100);
		limits.observe(target, {perSecond: undefined, sentMs: 950});
		expect(target.limit?.perSecond).toBe(0.5);
		limits.observe(target, {perSecond: undefined, sentMs: 1050});
		expect(target.limit).toBeUndefined();
	});

	it.each([Number.NaN, -1, -Infinity])('ignores a limit of %d', perSecond => {
		const {limits, target} = setUp();
		limits.observe(target, {perSecond: 2, sentMs: 900});
		limits.observe(target, {perSecond, sentMs: 1000});
		expect(target.limit?.perSecond).toBe(2);
	});

	it('takes zero as a limit, and a very large one as none', () => {
		const {limits, target} = setUp();
		limits.observe(target, {perSecond: 0, sentMs: 900});
		expect(target.limit?.perSecond).toBe(0);
		limits.observe(target, {perSecond: 1e9, sentMs: 1000});
		expect(target.limit).toBeUndefined();
	});
});
