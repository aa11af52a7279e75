import {describe, expect, it} from 'vitest';
import {LoanSources} from './loan-sources.js';

const lenders = ['a', 'b', 'c', 'd'].map(name => ({name}));

function choose(sources: LoanSources<{name: string}>, needed: number, now: number) {
	return sources.choose(lenders, {needed, usual: 0.1, now}).map(({lender, amount}) => [lender.name, Math.round(amount * 100) / 100]);
}

describe('LoanSources', () => {
	// Guards against a retry that is denied without a question: a leader without slack expects little of four others, which have counted requests.
	it('ask for an equal part of each lender whose budget is not known, if what is usual does not suffice', () => {
		const sources = LoanSources.create<{name: string}>();
		expect(choose(sources, 1, 0)).toEqual([['a', 0.25], ['b', 0.25], ['c', 0.25], ['d', 0.25]]);
		sources.record(lenders[1]!, 0.4, 0);
		sources.record(lenders[2]!, 0, 0);
		expect(choose(sources, 1, 0)).toEqual([['b', 0.4], ['a', 0.3], ['d', 0.3]]);
		expect(choose(sources, 0.2, 0)).toEqual([['b', 0.2]]);
	});

	// Guards against remainders that are too small to be asked for, but lower what is expected of the others, so that nobody is asked.
	it('leave small remainders out of what is expected', () => {
		const sources = LoanSources.create<{name: string}>();
		for (const lender of lenders.slice(0, 3)) {
			sources.record(lender, 0.04, 0);
		}

		expect(choose(sources, 0.5, 0)).toEqual([['d', 0.5]]);
	});

	// Guards against messages in each denied retry of a shortage.
	it('ask nobody while the budgets that are known do not suffice', () => {
		const sources = LoanSources.create<{name: string}>();
		for (const lender of lenders) {
			sources.record(lender, 0.2, 0);
		}

		expect([choose(sources, 1, 1000), choose(sources, 0.8, 1000).length]).toEqual([[], 4]);
	});
});
