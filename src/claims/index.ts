export type {
	BookingKey, BookingOutcome, Claim, ClaimDecision, ClaimService,
} from './claim-service.js';
export {mintKey, parseMintedKey, type MintedKey} from './minted-key.js';
export {MintedClaims} from './minted-claims.js';
