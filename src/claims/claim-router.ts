import type {Ms} from '../clock/index.js';
import type {
	BookingKey, BookingOutcome, Claim, ClaimDecision, ClaimService,
} from './claim-service.js';
import {parseMintedKey} from './minted-key.js';

/**
 * Sends each key to the service that decides it: minted keys to the memory of their incarnation, others to the log.
 * A minted key of another incarnation cannot be decided here; requests with such keys are forwarded before claiming.
 *
 * @example
 * const claims = ClaimRouter.create({minted, logged});
 */
export class ClaimRouter implements ClaimService {
	static create(parts: {minted: ClaimService; logged: ClaimService}): ClaimRouter {
		return new ClaimRouter(parts.minted, parts.logged);
	}

	/** Service of each claim that won and has not ended. */
	readonly #services = new Map<string, ClaimService>();

	private constructor(private readonly minted: ClaimService, private readonly logged: ClaimService) {}

	async acquire(key: BookingKey, deadlineMs: Ms): Promise<ClaimDecision> {
		const service = parseMintedKey(key.key) ? this.minted : this.logged;
		const decision = await service.acquire(key, deadlineMs);
		if (decision.type === 'won') {
			this.#services.set(decision.claim.claimId, service);
		}

		return decision;
	}

	settle(claim: Claim, outcome: BookingOutcome): void {
		this.#take(claim)?.settle(claim, outcome);
	}

	release(claim: Claim): void {
		this.#take(claim)?.release(claim);
	}

	#take(claim: Claim): ClaimService | undefined {
		const service = this.#services.get(claim.claimId);
		this.#services.delete(claim.claimId);
		return service;
	}
}
