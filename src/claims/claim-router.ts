import type {Ms} from '../clock/index.js';
import type {
	IdempotencyKey, ClaimOutcome, Claim, ClaimDecision, ClaimService,
} from './claim-service.js';
import {parseMintedKey} from './minted-key.js';

/**
 * Routes each key to the claim service that decides it: minted keys to the service that decides them from memory, all
 * others to the service that uses the platform's log. A key minted by another incarnation cannot be decided here;
 * requests with such keys are forwarded to that incarnation before they are claimed.
 *
 * @example
 * const claims = ClaimRouter.create({minted, logged});
 */
export class ClaimRouter implements ClaimService {
	static create(services: {minted: ClaimService; logged: ClaimService}): ClaimRouter {
		return new ClaimRouter(services.minted, services.logged);
	}

	/** Service of each won claim that is neither settled nor released, by claim id. */
	readonly #services = new Map<string, ClaimService>();

	private constructor(private readonly minted: ClaimService, private readonly logged: ClaimService) {}

	async acquire(key: IdempotencyKey, deadlineMs: Ms): Promise<ClaimDecision> {
		const service = parseMintedKey(key.key) ? this.minted : this.logged;
		const decision = await service.acquire(key, deadlineMs);
		if (decision.type === 'won') {
			this.#services.set(decision.claim.claimId, service);
		}

		return decision;
	}

	settle(claim: Claim, outcome: ClaimOutcome): void {
		this.#takeService(claim)?.settle(claim, outcome);
	}

	release(claim: Claim): void {
		this.#takeService(claim)?.release(claim);
	}

	#takeService(claim: Claim): ClaimService | undefined {
		const service = this.#services.get(claim.claimId);
		this.#services.delete(claim.claimId);
		return service;
	}
}
