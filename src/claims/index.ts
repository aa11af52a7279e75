export type {
	IdempotencyKey, ClaimOutcome, Claim, ClaimDecision, ClaimService,
} from './claim-service.js';
export {mintKey, parseMintedKey, type MintedKey} from './minted-key.js';
export {LocalClaimService} from './local-claim-service.js';
export {claimRecordSchema, type ClaimRecord} from './claim-record.js';
export {
	foldClaims, type ClaimEntry, type ClaimFoldResult, type ClaimFoldState, type ClaimVerdict,
} from './fold-claims.js';
export {ClaimTable} from './claim-table.js';
export {ClaimsFollower, type ClaimsFollowerOptions, type FoldedClaimRecord} from './claims-follower.js';
export type {ClaimsFollowerState} from './claims-follower-lifecycle.js';
export {BatchWriter, type AppendResult, type QueuedAppend} from './batch-writer.js';
export type {ClaimStats} from './claim-stats.js';
export {LogClaimService, type LogClaimServiceOptions} from './log-claim-service.js';
export {ClaimRouter} from './claim-router.js';
