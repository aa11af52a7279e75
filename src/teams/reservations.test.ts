import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {Reservations} from './reservations.js';

const works = ['rank', 'answer'].map(stage => ({
	team: 'team', stage, pool: 'pool', serviceMs: 100,
}));

// Guards against reserved work that is released twice, or never when a request ends without reaching its stages.
test('reserved work is released once: at its stage, at the end, or at the deadline', async () => {
	const clock = ManualClock.create();
	const released: string[] = [];
	const reservations = Reservations.create(clock, work => released.push(work.stage));
	reservations.add('one', 9000, works);
	reservations.reached('one', 'rank');
	reservations.reached('one', 'rank');
	reservations.release('one');
	reservations.release('one');
	expect(released).toEqual(['rank', 'answer']);
	reservations.add('two', 9000, works);
	await clock.advance(10_000);
	reservations.add('three', 20_000, works);
	expect(released).toHaveLength(4);
	expect(reservations.size).toBe(1);
});
