import {z} from 'zod';
import type {LogRecord} from '../log/index.js';
import {checkChange} from './check-change.js';
import type {AppliedConfig} from './config-view.js';
import type {DeclarationFinding} from './declaration-finding.js';
import {DeclarationSet} from './declarations-set.js';
import {declarationSchema, type DeclarationKey} from './declarations.js';

/** Record of the stream `config`: a change, valid only on its base revision. */
export const changeRecordSchema = z.object({
	kind: z.literal('change'),
	id: z.string(),
	base: z.number().int(),
	author: z.string().default(''),
	set: z.array(declarationSchema).default([]),
	remove: z.array(z.string()).default([]),
});

/** The part of a change that identifies it, for changes whose declarations do not parse. */
const changeIdSchema = changeRecordSchema.pick({kind: true, id: true, base: true});

/** A change of the configuration. */
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** What folding a record did. `invalid`: the result would be inconsistent, so the change has no effect. */
export type FoldVerdict = 'accepted' | 'conflict' | 'invalid' | 'ignored';

/** Result of folding one record. */
export interface FoldResult {
	readonly config: AppliedConfig;
	readonly verdict: FoldVerdict;
	readonly changeId?: string;
	/** Errors of an invalid change. */
	readonly findings?: readonly DeclarationFinding[];
}

/** Configuration before the first record. */
export const emptyConfig: AppliedConfig = {offset: -1, revision: -1, declarations: DeclarationSet.create()};

/**
 * Folds one record into the configuration. Every process that folds the same records in order reaches the same state.
 *
 * @example
 * const {config, verdict} = foldConfig(emptyConfig, record);
 */
export function foldConfig(config: AppliedConfig, entry: LogRecord): FoldResult {
	if (entry.offset <= config.offset) {
		return {config, verdict: 'ignored'};
	}

	const seen = {...config, offset: entry.offset};
	const id = changeIdSchema.safeParse(entry.record);
	if (!id.success) {
		return {config: seen, verdict: 'ignored'};
	}

	const changeId = id.data.id;
	if (id.data.base !== config.revision) {
		return {config: seen, verdict: 'conflict', changeId};
	}

	const parsed = changeRecordSchema.safeParse(entry.record);
	if (!parsed.success) {
		return {config: seen, verdict: 'invalid', changeId};
	}

	const {set, remove} = parsed.data;
	const errors = checkChange(config.declarations, {set, remove}).filter(finding => finding.severity === 'error');
	if (errors.length > 0) {
		return {
			config: seen, verdict: 'invalid', changeId, findings: errors,
		};
	}

	return {
		config: {
			offset: entry.offset,
			revision: entry.offset,
			declarations: config.declarations.with(set, remove as DeclarationKey[]),
		},
		verdict: 'accepted',
		changeId,
	};
}
