import {describe, expect, it} from 'vitest';
import {leaseMs, Vote} from './vote.js';

describe('Vote', () => {
	// Guards against two coordinators that both count on the vote of one member.
	it('goes to another candidate only after the lease of the one before', () => {
		const vote = Vote.create(-10_000);
		expect(vote.give('a', 0)).toBe(true);
		expect(vote.give('b', leaseMs)).toBe(false);
		expect(vote.give('a', leaseMs)).toBe(true);
		expect(vote.give('b', leaseMs * 2)).toBe(false);
		expect(vote.give('b', (leaseMs * 2) + 100)).toBe(true);
	});

	it('is withheld after a start for as long as an earlier process may have given it', () => {
		const vote = Vote.create(0);
		expect([vote.give('a', leaseMs), vote.give('a', leaseMs + 100)]).toEqual([false, true]);
	});
});
