import {expect, it} from 'vitest';
import {ListMemo} from './list-memo.js';

// Guards against engines that are ranked for a list that has changed since, and against a memory that grows.
it('derives once for each of the last lists with the same members in the same order', () => {
	const members = Array.from({length: 12}, (_, id) => ({id}));
	let derived = 0;
	const memo = ListMemo.create((list: ReadonlyArray<{id: number}>) => {
		derived++;
		return list.map(({id}) => id).join(' ');
	});
	const [a, b, c] = [members[0]!, members[1]!, members[2]!];
	expect([[a, b, c], [a, b], [a, b, c], [c, b, a], [a, b], []].map(list => memo.of(list))).toEqual(['0 1 2', '0 1', '0 1 2', '2 1 0', '0 1', '']);
	expect(derived).toBe(4);
	for (const member of members) {
		memo.of([member]);
	}

	expect([memo.of([members[11]!]), derived, memo.of([a, b]), derived]).toEqual(['11', 16, '0 1', 17]);
});
