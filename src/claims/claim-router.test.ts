import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {ClaimRouter} from './claim-router.js';
import type {BookingKey, Claim, ClaimService} from './claim-service.js';
import {MintedClaims} from './minted-claims.js';
import {mintKey} from './minted-key.js';

function routed(): {clock: ManualClock; claims: ClaimRouter; logged: string[]; minted: MintedClaims} {
	const clock = ManualClock.create();
	const logged: string[] = [];
	const log: ClaimService = {
		async acquire(key) {
			logged.push(`acquire ${key.key}`);
			return {type: 'won', claim: {keyHash: key.key, claimId: key.key}};
		},
		settle(claim) {
			logged.push(`settle ${claim.keyHash}`);
		},
		release(claim) {
			logged.push(`release ${claim.keyHash}`);
		},
	};
	const minted = MintedClaims.create({clock, incarnation: 'vm'});
	return {
		clock, logged, minted, claims: ClaimRouter.create({minted, logged: log}),
	};
}

function booking(key: string, attempt = 1): BookingKey {
	return {
		team: 't', pipeline: 'p', key, notAfterMs: 0, attempt, bodyHash: 'b',
	};
}

async function win(claims: ClaimService, key: string): Promise<Claim> {
	const decision = await claims.acquire(booking(key), 0);
	expect(decision.type).toBe('won');
	return (decision as {claim: Claim}).claim;
}

// Guards against a minted key that is decided twice, by the log and by memory, and against a lost outcome.
test('minted keys are decided from memory and others from the log', async () => {
	const {clock, claims, logged} = routed();
	const own = mintKey('vm', clock.wall() + 1000);
	claims.settle(await win(claims, own), {type: 'done', answer: 'a'});
	await expect(claims.acquire(booking(own, 2), 0)).resolves.toEqual({type: 'done', answer: 'a'});
	await expect(claims.acquire(booking(mintKey('other', clock.wall() + 1000)), 0)).resolves.toEqual({type: 'unknown', reason: 'minter_gone'});
	expect(logged).toEqual([]);
	claims.settle(await win(claims, 'x'), {type: 'unknown'});
	claims.release(await win(claims, 'y'));
	expect(logged).toEqual(['acquire x', 'settle x', 'acquire y', 'release y']);
});

// Guards against a second run of a minted key after its entry was dropped and the wall clock stepped back.
test('a step back of the wall clock does not revive a minted key', async () => {
	const {clock, claims, minted} = routed();
	const own = mintKey('vm', clock.wall() + 1000);
	claims.settle(await win(claims, own), {type: 'done', answer: 'a'});
	await clock.advance(2000);
	await win(claims, mintKey('vm', clock.wall() + 1000));
	expect(minted.size).toBe(1);
	clock.stepWall(-1500);
	await expect(claims.acquire(booking(own), 0)).resolves.toEqual({type: 'not_run', reason: 'key_expired'});
	await expect(claims.acquire(booking(own, 2), 0)).resolves.toEqual({type: 'unknown', reason: 'earlier_attempt_unknown'});
});
