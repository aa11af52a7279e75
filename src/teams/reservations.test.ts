import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {Reservations} from './reservations.js';

const items = ['rank', 'answer'].map(stage => ({
	team: 'team', stage, pool: 'pool', serviceMs: 100,
}));

// Guards against releasing reserved work twice, or never when a request ends before it reaches its stages.
test('reserved work is released once: at its stage, at the end, or at the deadline', async () => {
	const clock = ManualClock.create();
	const released: string[] = [];
	const reservations = Reservations.create(clock, work => released.push(work.stage));
	reservations.add('one', 9000, items);
	reservations.stageReached('one', 'rank');
	reservations.stageReached('one', 'rank');
	reservations.release('one');
	reservations.release('one');
	expect(released).toEqual(['rank', 'answer']);
	reservations.add('two', 9000, items);
	await clock.advance(10_000);
	reservations.add('three', 20_000, items);
	expect(released).toHaveLength(4);
	expect(reservations.size).toBe(1);
});
