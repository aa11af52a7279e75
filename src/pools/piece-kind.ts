import type {StageJob} from './stage-job.js';

/** What the time of a piece depends on: the stage of its route and the size of its result. */
export type PieceKind = Pick<StageJob, 'stage' | 'resultBytes'>;

/**
 * Returns the key of a kind of pieces. Sizes count by powers of two, so that sizes that differ a little are one kind.
 *
 * @example
 * pieceKindKey({stage: 1, resultBytes: 8000}); // '1/13'
 */
export function pieceKindKey({stage, resultBytes}: PieceKind): string {
	return `${stage}/${Math.round(Math.log2(Math.max(1, resultBytes)))}`;
}
