import {expect, it} from 'vitest';
import {decideRetention, type RetentionInputs} from './decide-retention.js';
import {maxRetainedBytes} from './max-retained-bytes.js';

// Guards against results that take memory of other plans while no stream needs them, or beyond the bound.
it.each([
	[{}, 'retain'],
	[{mayResume: false}, 'no_attempt'],
	[{interrupted: 0}, 'no_interruptions'],
	[{started: 0, interrupted: 0}, 'no_interruptions'],
	[{started: 0, interrupted: 1}, 'retain'],
	[{started: 100, interrupted: 1}, 'retain'],
	[{started: 101, interrupted: 1}, 'no_interruptions'],
	[{bytes: 0}, 'unknown_size'],
	[{retainedBytes: 900}, 'retain'],
	[{retainedBytes: 901}, 'no_room'],
	[{maxBytes: 0}, 'no_room'],
	[{interrupted: 0, retainedBytes: 901}, 'no_interruptions'],
] as Array<[Partial<RetentionInputs>, string]>)('decides by interruptions and room: %j', (fields, decision) => {
	expect(decideRetention({
		mayResume: true, started: 20, interrupted: 5, retainedBytes: 0, bytes: 100, maxBytes: 1000, ...fields,
	})).toBe(decision);
});

// Guards against entry VMs that together retain more than the share of the memory, or retain without knowing their number.
it('divides a share of the declared memory among the entry VMs', () => {
	expect([1, 3, undefined, 0].map(entryVms => maxRetainedBytes({resultMemoryMb: 15, targets: 4, entryVms}))).toEqual([6_000_000, 2_000_000, 0, 0]);
	expect(maxRetainedBytes({resultMemoryMb: 15, targets: 0, entryVms: 3})).toBe(0);
});
