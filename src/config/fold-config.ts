import {z} from 'zod';
import type {LogRecord} from '../platform-log/index.js';
import {checkChange} from './check-change.js';
import type {AppliedConfig} from './config-view.js';
import type {DeclarationFinding} from './declaration-finding.js';
import {DeclarationSet} from './declaration-set.js';
import {declarationSchema, type DeclarationKey} from './declarations.js';

/** Change record of the stream `config`. It is accepted only if `base` is the revision in force. */
export const changeRecordSchema = z.object({
	kind: z.literal('change'),
	id: z.string(),
	base: z.number().int(),
	author: z.string().default(''),
	set: z.array(declarationSchema).default([]),
	remove: z.array(z.string()).default([]),
});

/** Identifying fields of a change, for changes whose declarations do not parse. */
const changeIdSchema = changeRecordSchema.pick({kind: true, id: true, base: true});

/** A change to the configuration. */
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** Outcome of a record. `invalid`: the resulting configuration would be inconsistent, so the change has no effect. */
export type FoldVerdict = 'accepted' | 'conflict' | 'invalid' | 'ignored';

/** Configuration after one record, and the outcome of the record. */
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
 * Applies one log record to the configuration. The function is deterministic: every process that folds the same records in
 * order reaches the same state.
 *
 * @example
 * const {config, verdict} = foldConfig(emptyConfig, record);
 */
export function foldConfig(config: AppliedConfig, entry: LogRecord): FoldResult {
	if (entry.offset <= config.offset) {
		return {config, verdict: 'ignored'};
	}

	const advanced = {...config, offset: entry.offset};
	const identity = changeIdSchema.safeParse(entry.record);
	if (!identity.success) {
		return {config: advanced, verdict: 'ignored'};
	}

	const changeId = identity.data.id;
	if (identity.data.base !== config.revision) {
		return {config: advanced, verdict: 'conflict', changeId};
	}

	const parsed = changeRecordSchema.safeParse(entry.record);
	if (!parsed.success) {
		return {config: advanced, verdict: 'invalid', changeId};
	}

	const {set, remove} = parsed.data;
	const errors = checkChange(config.declarations, {set, remove}).filter(finding => finding.severity === 'error');
	if (errors.length > 0) {
		return {
			config: advanced, verdict: 'invalid', changeId, findings: errors,
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
