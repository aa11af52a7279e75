import {expect, it} from 'vitest';
import {findUnexplained} from './explain-crashes.js';
import type {Suspicion} from './suspicion.js';

const suspicion = (parts: readonly string[], crashes: readonly string[], crashedMs = 1000): Suspicion => ({
	parts, crashes: new Map(crashes.map(crash => [crash, 1])), sentMs: 0, crashedMs, quarantinedMs: crashedMs,
});
const shared = suspicion(['shared'], ['e-1', 'e-2']);

// Guards against sound parts that stay quarantined since they came along with different causes of crashes.
it.each([
	['one of the crashes', [suspicion(['deadly'], ['e-2', 'e-3'])], ['e-1']],
	['the same crashes', [suspicion(['deadly'], ['e-1', 'e-2'])], []],
	['other crashes', [suspicion(['deadly'], ['e-3', 'e-4'])], ['e-1', 'e-2']],
	['the part and another one', [suspicion(['deadly', 'shared'], ['e-1', 'e-2'])], []],
	['repeats of a request', [suspicion(['request:1', 'shared'], ['e-1', 'e-2'])], ['e-1']],
	['a request with one of the crashes', [suspicion(['request:1'], ['e-2', 'e-3', 'e-4'])], ['e-1', 'e-2']],
	['the part and another one, beside such a set with a third one', [suspicion(['deadly', 'shared'], ['e-1', 'e-2']), suspicion(['other', 'shared'], ['e-2', 'e-3'])], ['e-1', 'e-2']],
	['crashes of other starts of the same name', [{...suspicion(['deadly'], ['e-1', 'e-1+', 'e-2']), spans: new Map([['e-1', {sentMs: 5000, crashedMs: 5100}], ['e-1+', {sentMs: 9000, crashedMs: 9100}], ['e-2', {sentMs: 500, crashedMs: 900}]])}], ['e-1']],
	['itself', [shared], ['e-1', 'e-2']],
])('leaves the crashes that are not explained by a set with %s', (_, causes, crashes) => {
	expect([...findUnexplained(shared, causes).crashes.keys()]).toEqual(crashes);
});

it('leaves all evidence against a request', () => {
	const request = suspicion(['request:1'], ['e-1', 'e-2']);
	expect(findUnexplained(request, [suspicion(['deadly'], ['e-1', 'e-2', 'e-3'])])).toBe(request);
});
