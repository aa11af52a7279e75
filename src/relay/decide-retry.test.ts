import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	decideEnd, decideRetry, type FailedAttemptState, type RetryDenial,
} from './decide-retry.js';

const state = (fields: Partial<FailedAttemptState>): FailedAttemptState => ({
	failure: 'broken', kind: 'idempotent', isResumable: false, sentCount: 1, possibleRunCount: 1, maxAttempts: 2, isQuarantined: false, hasUntriedTarget: true, hasTime: true, spendRetry: () => true, ...fields,
});

describe('decideRetry', () => {
	it('retries an idempotent request after an incomplete response', () => {
		expect(decideRetry(state({}))).toEqual({step: 'retry'});
	});

	it('never retries a non-idempotent request that may have run', () => {
		expect(decideRetry(state({kind: 'non_idempotent', maxAttempts: 5}))).toMatchObject({step: 'reject', rejection: {status: 502}});
		expect(decideRetry(state({kind: 'non_idempotent', failure: 'silent'}))).toMatchObject({rejection: {status: 504}});
	});

	it('retries a non-idempotent request after a refusal, and reports "not run" when no attempt is left', () => {
		expect(decideRetry(state({kind: 'non_idempotent', failure: 'refused', possibleRunCount: 0}))).toEqual({step: 'retry'});
		expect(decideRetry(state({
			kind: 'non_idempotent', failure: 'refused', possibleRunCount: 0, maxAttempts: 1,
		}))).toMatchObject({rejection: {status: 503, reason: 'target_refused'}});
	});

	it('treats a stream that cannot be resumed as non-idempotent', () => {
		expect(decideRetry(state({kind: 'stream'})).step).toBe('reject');
		expect(decideRetry(state({kind: 'stream', isResumable: true}))).toEqual({step: 'retry'});
	});

	it('does not count a request that reached no target as an attempt or a retry', () => {
		const spendRetry = () => {
			throw new Error('unexpected call of spendRetry');
		};

		expect(decideRetry(state({
			failure: 'unsent', sentCount: 0, possibleRunCount: 0, maxAttempts: 1, spendRetry,
		}))).toEqual({step: 'retry'});
	});

	// Guards against a retry budget that is used up by requests which waited for connections to targets that drain.
	it.each(['unsent', 'withdrawn'] as const)('takes nothing more from the budget after a retry that was %s', failure => {
		const spendRetry = () => {
			throw new Error('unexpected call of spendRetry');
		};

		expect(decideRetry(state({
			failure, sentCount: 1, possibleRunCount: 1, maxAttempts: 2, spendRetry,
		}))).toEqual({step: 'retry'});
	});

	it('delivers the error response of a target when no other target is left', () => {
		expect(decideRetry(state({failure: 'error', hasUntriedTarget: false}))).toEqual({step: 'deliver_error', denial: 'no_target'});
	});

	it.each<[RetryDenial, Partial<FailedAttemptState>]>([
		['may_have_run', {kind: 'non_idempotent'}],
		['no_attempt', {sentCount: 2}],
		['quarantined', {isQuarantined: true}],
		['no_target', {hasUntriedTarget: false}],
		['no_time', {hasTime: false}],
		['no_budget', {spendRetry: () => false}],
	])('tells why a request is not sent to another target: %s', (denial, fields) => {
		expect(decideRetry(state(fields))).toMatchObject({step: 'reject', denial});
	});

	// Guards against a "not run" for a request that an engine has run, and whose stages the retry budget cannot pay for again.
	it('ends a request whose stages cannot run again as one that is not retried', () => {
		expect(decideEnd({failure: 'refused', possibleRunCount: 0}, 'no_stage_budget')).toMatchObject({step: 'reject', denial: 'no_stage_budget', rejection: {status: 503}});
		expect(decideEnd({failure: 'refused', possibleRunCount: 1}, 'no_stage_budget')).toMatchObject({rejection: {status: 502}});
		expect(decideEnd({failure: 'error', possibleRunCount: 1}, 'no_stage_budget')).toEqual({step: 'deliver_error', denial: 'no_stage_budget'});
	});

	it('reports "not run" only if no target can have run the request, and retries only requests that may run again', () => {
		const any = fc.record({
			failure: fc.constantFrom('refused' as const, 'unsent' as const, 'withdrawn' as const, 'broken' as const, 'silent' as const, 'error' as const),
			kind: fc.constantFrom('idempotent' as const, 'non_idempotent' as const, 'stream' as const),
			isResumable: fc.boolean(),
			sentCount: fc.integer({min: 0, max: 4}),
			possibleRunCount: fc.integer({min: 0, max: 4}),
			maxAttempts: fc.integer({min: 1, max: 4}),
			isQuarantined: fc.boolean(),
			hasUntriedTarget: fc.boolean(),
			hasTime: fc.boolean(),
			budget: fc.boolean(),
		});
		fc.assert(fc.property(any, ({budget, ...fields}) => {
			const decision = decideRetry({...fields, spendRetry: () => budget});
			if (decision.step === 'reject' && decision.rejection.status === 503) {
				expect(fields.possibleRunCount).toBe(0);
			}

			if (decision.step === 'retry') {
				expect(fields.isQuarantined).toBe(false);
				expect(fields.possibleRunCount === 0 || fields.kind === 'idempotent' || (fields.kind === 'stream' && fields.isResumable)).toBe(true);
				expect(fields.failure === 'unsent' || fields.failure === 'withdrawn' || fields.sentCount < fields.maxAttempts).toBe(true);
			}
		}), {seed: 17, numRuns: 2000});
	});
});
