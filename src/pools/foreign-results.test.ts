import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {ForeignResults} from './foreign-results.js';

// Guards against results that are freed at a host that does not count them, and against memory that grows with the
// results that nobody frees.
test('groups results by the host that produced them, once, and forgets old ones', async () => {
	const clock = ManualClock.create();
	const results = ForeignResults.create<string>(clock);
	results.add(['a', 'b'], 'riga-b-1');
	results.add(['c'], 'riga-a-1');
	expect([...results.takeByHost(['a', 'c', 'own'])]).toEqual([['riga-b-1', ['a']], ['riga-a-1', ['c']], [undefined, ['own']]]);
	expect([...results.takeByHost(['a'])]).toEqual([[undefined, ['a']]]);
	await clock.advance(120_000);
	results.add(['d'], 'riga-a-1');
	expect(results.size).toBe(1);
});
