import {expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {LeaderStandby} from './leader-standby.js';

function create() {
	const clock = ManualClock.create();
	const changes: boolean[] = [];
	const standby = LeaderStandby.create({
		clock, logger: silentLoggerFactory('targets'), onChange(isOn) {
			changes.push(isOn);
		},
	});
	return {clock, standby, changes};
}

it('ends once targets have been reached for a while', async () => {
	const {clock, standby, changes} = create();
	standby.setCutOff(true);
	await clock.advance(60_000);
	standby.setCutOff(false);
	await clock.advance(9999);
	expect([standby.isOn, changes]).toEqual([true, [true]]);
	await clock.advance(1);
	expect([standby.isOn, changes]).toEqual([false, [true, false]]);
});

// Guards against stage pools that move with each of several short cuts.
it('goes on through cuts that follow each other, and for longer with each', async () => {
	const {clock, standby, changes} = create();
	for (let cut = 0; cut < 3; cut++) {
		standby.setCutOff(true);
		await clock.advance(1000);
		standby.setCutOff(false);
		await clock.advance(9000);
	}

	await clock.advance(30_999);
	expect(changes).toEqual([true]);
	await clock.advance(1);
	expect(changes).toEqual([true, false]);
	await clock.advance(300_000);
	standby.setCutOff(true);
	standby.setCutOff(false);
	await clock.advance(10_000);
	expect(changes).toEqual([true, false, true, false]);
});
