import {z} from 'zod';
import type {LogRecord} from '../platform/index.js';
import type {AppliedConfig} from './config-view.js';
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

/** A change of the configuration. */
export type ChangeRecord = z.infer<typeof changeRecordSchema>;

/** What folding a record did. */
export type FoldVerdict = 'accepted' | 'conflict' | 'ignored';

/** Configuration before the first record. */
export const emptyConfig: AppliedConfig = {offset: -1, revision: -1, declarations: DeclarationSet.create()};

/**
 * Folds one record into the configuration. Every process that folds the same records in order reaches the same state.
 *
 * @example
 * const {config, verdict} = foldConfig(emptyConfig, record);
 */
export function foldConfig(config: AppliedConfig, entry: LogRecord): {config: AppliedConfig; verdict: FoldVerdict; changeId?: string} {
	if (entry.offset <= config.offset) {
		return {config, verdict: 'ignored'};
	}

	const seen = {...config, offset: entry.offset};
	const parsed = changeRecordSchema.safeParse(entry.record);
	if (!parsed.success) {
		return {config: seen, verdict: 'ignored'};
	}

	const change = parsed.data;
	if (change.base !== config.revision) {
		return {config: seen, verdict: 'conflict', changeId: change.id};
	}

	return {
		config: {
			offset: entry.offset,
			revision: entry.offset,
			declarations: config.declarations.with(change.set, change.remove as DeclarationKey[]),
		},
		verdict: 'accepted',
		changeId: change.id,
	};
}
