import {expect, test} from 'vitest';
import {Random} from '../random/index.js';
import type {TimelineEvent} from './event.js';
import {mergeEvents} from './merge-events.js';

const event = (process: string, sequence: number, wallMs: number, logical = 0): TimelineEvent => ({
	kind: 'shutdown', process, sequence, wallMs, logical,
});
const names = (events: readonly TimelineEvent[]) => events.map(({process, sequence}) => `${process}${sequence}`).join(' ');

// Guards against events of one process that change order when its clock steps back.
test('process order is kept when a clock steps back', () => {
	const merged = mergeEvents([[event('a', 1, 100), event('a', 2, 50), event('a', 3, 120)], [event('b', 1, 90), event('b', 2, 110)]]);
	expect(names(merged)).toBe('b1 a1 a2 b2 a3');
});

// Guards against an event that is listed twice because two processes sent it, and against ordering by arrival.
test('events with equal times are ordered by logical time, process and sequence, without duplicates', () => {
	const list = [event('b', 1, 5, 1), event('b', 2, 5, 2)];
	expect(names(mergeEvents([list, [event('a', 1, 5, 2)], list.toReversed()]))).toBe('b1 a1 b2');
});

// Guards against any interleaving that changes the order of a process's events.
test('process order is kept for random lists', () => {
	const random = Random.create(5);
	for (let round = 0; round < 50; round++) {
		const lists = ['a', 'b', 'c'].map(process => Array.from({length: random.integer(0, 30)}, (_, index) => event(process, index + 1, random.integer(0, 40), random.integer(0, 3))));
		const merged = mergeEvents(lists);
		expect(merged).toHaveLength(lists.flat().length);
		for (const list of lists) {
			const sequences = merged.filter(({process}) => process === list[0]?.process).map(({sequence}) => sequence);
			expect(sequences).toEqual(list.map(({sequence}) => sequence));
		}
	}
});
