import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {ClaimRouter} from './claim-router.js';
import type {IdempotencyKey, Claim, ClaimService} from './claim-service.js';
import {LocalClaimService} from './local-claim-service.js';
import {mintKey} from './minted-key.js';

function createRouter(): {clock: ManualClock; claims: ClaimRouter; logCalls: string[]; minted: LocalClaimService} {
	const clock = ManualClock.create();
	const logCalls: string[] = [];
	const log: ClaimService = {
		async acquire(key) {
			logCalls.push(`acquire ${key.key}`);
			return {type: 'won', claim: {keyHash: key.key, claimId: key.key}};
		},
		settle(claim) {
			logCalls.push(`settle ${claim.keyHash}`);
		},
		release(claim) {
			logCalls.push(`release ${claim.keyHash}`);
		},
	};
	const minted = LocalClaimService.create({clock, incarnation: 'vm'});
	return {
		clock, logCalls, minted, claims: ClaimRouter.create({minted, logged: log}),
	};
}

function createKey(key: string, attempt = 1): IdempotencyKey {
	return {
		team: 't', pipeline: 'p', key, notAfterMs: 0, attempt, bodyHash: 'b',
	};
}

async function win(claims: ClaimService, key: string): Promise<Claim> {
	const decision = await claims.acquire(createKey(key), 0);
	expect(decision.type).toBe('won');
	return (decision as {claim: Claim}).claim;
}

// Guards against a minted key that is decided both in memory and through the log, and against an outcome that
// does not reach the service that decided the claim.
test('minted keys are decided from memory and others from the log', async () => {
	const {clock, claims, logCalls} = createRouter();
	const own = mintKey('vm', clock.wall() + 1000);
	claims.settle(await win(claims, own), {type: 'done', answer: 'a'});
	await expect(claims.acquire(createKey(own, 2), 0)).resolves.toEqual({type: 'done', answer: 'a'});
	await expect(claims.acquire(createKey(mintKey('other', clock.wall() + 1000)), 0)).resolves.toEqual({type: 'unknown', reason: 'minter_gone'});
	expect(logCalls).toEqual([]);
	claims.settle(await win(claims, 'x'), {type: 'unknown'});
	claims.release(await win(claims, 'y'));
	expect(logCalls).toEqual(['acquire x', 'settle x', 'acquire y', 'release y']);
});

// Guards against a second run of a minted key whose entry was removed before the wall clock stepped back.
test('a step back of the wall clock does not revive a minted key', async () => {
	const {clock, claims, minted} = createRouter();
	const own = mintKey('vm', clock.wall() + 1000);
	claims.settle(await win(claims, own), {type: 'done', answer: 'a'});
	await clock.advance(2000);
	await win(claims, mintKey('vm', clock.wall() + 1000));
	expect(minted.size).toBe(1);
	clock.stepWall(-1500);
	await expect(claims.acquire(createKey(own), 0)).resolves.toEqual({type: 'not_run', reason: 'key_expired'});
	await expect(claims.acquire(createKey(own, 2), 0)).resolves.toEqual({type: 'unknown', reason: 'earlier_attempt_unknown'});
});
