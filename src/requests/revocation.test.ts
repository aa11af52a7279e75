import {expect, test} from 'vitest';
import {LocalClaimService} from '../claims/index.js';
import {ManualClock} from '../clock/index.js';
import {DeclarationSet, StaticConfigView} from '../config/index.js';
import {EventRing} from '../events/index.js';
import type {GenerateCall} from '../targets/index.js';
import type {AttemptResult, Scheduler, StageWork} from '../teams/index.js';
import {FakeTargets} from '../../test/support/fake-targets.js';
import {policyDeclarations} from '../../test/support/policy-declarations.js';
import {RequestRunner} from './request-runner.js';

const tokens = 6;

/** Returns a runner whose first `revocations` attempts are revoked after two chunks each. */
function setup(revocations: number) {
	const clock = ManualClock.create();
	const declarations = policyDeclarations({teams: {team: 1}, targets: {here: 1}, slots: 8});
	const [target] = FakeTargets.create(DeclarationSet.create(declarations)).pool('pool');
	const calls: GenerateCall[] = [];
	const works: StageWork[] = [];
	const settled: AttemptResult[] = [];
	let revoke: () => void = () => undefined;
	const scheduler: Scheduler = {
		admit: () => ({admitted: true, predictedMs: 0}),
		async acquire(work) {
			works.push(work);
			const revoked = new AbortController();
			revoke = () => {
				revoked.abort();
			};

			return {
				target: target!, shareClass: 'above', revoked: revoked.signal, settle: result => settled.push(result),
			};
		},
		spendRetry() {
			throw new Error('Cannot spend a retry: none was due');
		},
	};
	target!.engine = {
		async * generate(call: GenerateCall, signal: AbortSignal) {
			calls.push(call);
			for (let index = call.fromIndex; index < tokens; index++) {
				if (works.length <= revocations && index === call.fromIndex + 2) {
					revoke();
				}

				signal.throwIfAborted();
				yield [{
					requestId: call.requestId, stage: call.stage, attempt: call.attempt, index, text: `${index} `, done: index === tokens - 1,
				}];
			}
		},
		cancel: async () => undefined,
	} as unknown as NonNullable<typeof target>['engine'];
	const runner = RequestRunner.create({
		clock, config: StaticConfigView.create(declarations), scheduler, claims: LocalClaimService.create({clock, incarnation: 'i1'}), events: EventRing.create({process: 'vm', clock}),
	});
	return {
		runner, calls, works, settled,
	};
}

// Guards against a revoked attempt that spends the retry budget, loses or repeats chunks, or settles its grant as failed.
test('a revoked stream resumes from its next chunk without spending the retry budget', async () => {
	const {runner, calls, works, settled} = setup(2);
	const received: string[] = [];
	const result = await runner.run('ask', {team: 'team', input: {text: 'x'}, max_tokens: tokens}, {
		sink(texts) {
			received.push(...texts);
		},
	});
	expect(result).toMatchObject({outcome: 'done', answer: '0 1 2 3 4 5 '});
	expect(received.join('')).toBe('0 1 2 3 4 5 ');
	expect(calls.map(({fromIndex, generatedText}) => [fromIndex, generatedText])).toEqual([[0, ''], [2, '0 1 '], [4, '0 1 2 3 ']]);
	expect(works.map(({failedTargets}) => failedTargets)).toEqual([[], [], []]);
	expect(settled.map(({outcome}) => outcome)).toEqual(['cancelled', 'cancelled', 'ok']);
});

// Guards against a revocation that aborts a non-idempotent attempt, whose outcome would then be unknown.
test('a non-idempotent request ignores a revocation', async () => {
	const {runner, calls, works} = setup(1);
	const result = await runner.run('ask', {
		team: 'team', input: {text: 'x'}, max_tokens: tokens, non_idempotent: true,
	});
	expect(result).toMatchObject({outcome: 'done'});
	expect(calls).toHaveLength(1);
	expect(works[0]!.idempotent).toBe(false);
});
