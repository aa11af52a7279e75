import {expect, it} from 'vitest';
import {BrittleSlots} from './brittle-slots.js';

// Guards against memory that each start of a brittle target takes for as long as any target is brittle.
it('forgets the starts of targets that were used least recently', () => {
	const slots = BrittleSlots.create();
	const take = (start: number) => slots.take({
		target: `e-1 ${start}`, slots: 4, perSecond: 10, holder: 'i-1', held: 0,
	}, start);
	for (let start = 0; start < 2500; start++) {
		take(start);
		take(0);
	}

	expect(slots.size).toBe(2000);
	// The one that is in use is still known: more than half of its slots are granted once the time of a takeover is over.
	const granted = [0, 1, 2].map(held => slots.take({
		target: 'e-1 0', slots: 4, perSecond: 10, holder: 'i-1', held,
	}, 10_000).isGranted);
	expect(granted).toEqual([true, true, true]);
});
