import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {nextStep, type FailedState} from './next-step.js';

const state = (fields: Partial<FailedState>): FailedState => ({
	attempt: 'broken', kind: 'idempotent', isResumable: false, sent: 1, mayHaveRun: 1, maxAttempts: 2, hasUntriedTarget: true, hasTime: true, spendRepeat: () => true, ...fields,
});

describe('nextStep', () => {
	it('sends an idempotent request again after a broken answer', () => {
		expect(nextStep(state({}))).toEqual({step: 'retry'});
	});

	it('never sends a non-idempotent request again once it may have run', () => {
		expect(nextStep(state({kind: 'non_idempotent', maxAttempts: 5}))).toMatchObject({step: 'reject', rejection: {status: 502}});
		expect(nextStep(state({kind: 'non_idempotent', attempt: 'silent'}))).toMatchObject({rejection: {status: 504}});
	});

	it('sends a non-idempotent request again after a refusal, and says "not run" when it cannot', () => {
		expect(nextStep(state({kind: 'non_idempotent', attempt: 'refused', mayHaveRun: 0}))).toEqual({step: 'retry'});
		expect(nextStep(state({
			kind: 'non_idempotent', attempt: 'refused', mayHaveRun: 0, maxAttempts: 1,
		}))).toMatchObject({rejection: {status: 503, reason: 'target_refused'}});
	});

	it('takes a stream that cannot be resumed for non-idempotent', () => {
		expect(nextStep(state({kind: 'stream'})).step).toBe('reject');
		expect(nextStep(state({kind: 'stream', isResumable: true}))).toEqual({step: 'retry'});
	});

	it('does not count a request that reached no target as an attempt or a repeat', () => {
		const spendRepeat = () => {
			throw new Error('not asked');
		};

		expect(nextStep(state({
			attempt: 'unsent', sent: 0, mayHaveRun: 0, maxAttempts: 1, spendRepeat,
		}))).toEqual({step: 'retry'});
	});

	it('delivers a target\'s failure when no other target is left', () => {
		expect(nextStep(state({attempt: 'error', hasUntriedTarget: false}))).toEqual({step: 'deliver_error'});
	});

	it('says "not run" only where nothing can have run, and repeats only what may be repeated', () => {
		const any = fc.record({
			attempt: fc.constantFrom('refused' as const, 'unsent' as const, 'broken' as const, 'silent' as const, 'error' as const),
			kind: fc.constantFrom('idempotent' as const, 'non_idempotent' as const, 'stream' as const),
			isResumable: fc.boolean(),
			sent: fc.integer({min: 0, max: 4}),
			mayHaveRun: fc.integer({min: 0, max: 4}),
			maxAttempts: fc.integer({min: 1, max: 4}),
			hasUntriedTarget: fc.boolean(),
			hasTime: fc.boolean(),
			budget: fc.boolean(),
		});
		fc.assert(fc.property(any, ({budget, ...fields}) => {
			const next = nextStep({...fields, spendRepeat: () => budget});
			if (next.step === 'reject' && next.rejection.status === 503) {
				expect(fields.mayHaveRun).toBe(0);
			}

			if (next.step === 'retry') {
				expect(fields.mayHaveRun === 0 || fields.kind === 'idempotent' || (fields.kind === 'stream' && fields.isResumable)).toBe(true);
				expect(fields.attempt === 'unsent' || fields.sent < fields.maxAttempts).toBe(true);
			}
		}), {seed: 17, numRuns: 2000});
	});
});
