import type {PromptSplit} from './prompt-mix.js';

/** An engine as far as the division of the engines depends on it. */
export interface RankedEngine {
	readonly id: string;
	/** Engines are divided among those of the same group, as prompts rarely leave their region. */
	readonly group: string;
}

/** Ids of the engines for each kind of prompt. */
export type DividedEngines = Readonly<Record<'long' | 'short', ReadonlySet<string>>>;

/**
 * Divides the engines of a service between long and short prompts: in each group, the first ones of the ranking for long
 * prompts, as many as their share of the work needs, and at least one for each kind. An engine alone in its group is for
 * both.
 *
 * @example
 * const {long, short} = divideEngines(ranked, {longFromTokens: 4096, longShare: 0.4});
 */
export function divideEngines(ranked: readonly RankedEngine[], {longShare}: PromptSplit): DividedEngines {
	const groups = new Map<string, string[]>();
	for (const {id, group} of ranked) {
		const ids = groups.get(group) ?? [];
		ids.push(id);
		groups.set(group, ids);
	}

	const [long, short] = [new Set<string>(), new Set<string>()];
	for (const ids of groups.values()) {
		const count = Math.max(1, Math.min(ids.length - 1, Math.round(longShare * ids.length)));
		for (const [index, id] of ids.entries()) {
			if (index < count) {
				long.add(id);
			}

			if (index >= count || ids.length === 1) {
				short.add(id);
			}
		}
	}

	return {long, short};
}
