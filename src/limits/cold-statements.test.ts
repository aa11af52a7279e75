import {expect, it} from 'vitest';
import {ColdStatements, type ColdStatement} from './cold-statements.js';

/** Reads entries of complete lists one after the other, and returns which ones are news. */
function readAll(statements: ColdStatements, entries: ReadonlyArray<[coldMs: number | undefined, startedMs: number | undefined]>): boolean[] {
	return entries.map(([coldMs, startedMs]) => {
		const statement: ColdStatement = {startedMs, coldMs};
		const isNews = statements.isNews('e-1', statement);
		if (isNews) {
			statements.record('e-1', statement);
		}

		return isNews;
	});
}

// Guards against entries of lists that are read again and again, each of which would prolong the cold phase of its target.
it('takes a statement for news once, until the target has made another one', () => {
	expect(readAll(ColdStatements.create(), [[3000, 1], [3000, 1], [1800, 1], [1800, 1], [undefined, 1], [0, 1], [1800, 1]])).toEqual([true, false, true, false, true, false, true]);
});

it('takes the same statement of a later start for news, and none of an earlier start', () => {
	expect(readAll(ColdStatements.create(), [[3000, 5], [3000, 6], [2000, 5], [3000, 6], [3000, undefined], [3000, undefined]])).toEqual([true, true, false, false, true, false]);
});

it('remembers a bounded number of targets, those that were recorded last', () => {
	const statements = ColdStatements.create();
	const statement = {startedMs: 1, coldMs: 100};
	for (let index = 0; index < 20_001; index++) {
		statements.record(`e-${index}`, statement);
		statements.record(`warm-${index}`, {startedMs: 1, coldMs: 0});
	}

	expect([20_000, 1, 0].map(index => statements.isNews(`e-${index}`, statement))).toEqual([false, false, true]);
});
