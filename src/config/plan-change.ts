import type {DeclarationSet} from './declaration-set.js';
import {declarationKey, type Declaration, type DeclarationKey} from './declarations.js';

/** One step of a plan. `fields` lists the changed paths, such as `stages.1.pool`. */
export interface PlanStep {
	readonly action: 'create' | 'change' | 'remove';
	readonly key: string;
	readonly fields: readonly string[];
}

/**
 * Compares a change with the configuration in force. Unchanged declarations produce no step.
 *
 * @example
 * planChange(current, {set: [team], remove: []}); // [{action: 'change', key: 'team/engravers', fields: ['weight']}]
 */
export function planChange(current: DeclarationSet, change: {set: readonly Declaration[]; remove: readonly string[]}): PlanStep[] {
	const steps: PlanStep[] = [];
	for (const declaration of change.set) {
		const key = declarationKey(declaration);
		const old = current.byKey.get(key);
		const fields = old ? changedPaths(old, declaration) : [];
		if (!old) {
			steps.push({action: 'create', key, fields});
		} else if (fields.length > 0) {
			steps.push({action: 'change', key, fields});
		}
	}

	for (const key of change.remove) {
		if (current.byKey.has(key as DeclarationKey)) {
			steps.push({action: 'remove', key, fields: []});
		}
	}

	return steps;
}

function changedPaths(a: unknown, b: unknown, path = ''): string[] {
	if (typeof a !== 'object' || typeof b !== 'object' || a === null || b === null) {
		return a === b ? [] : [path];
	}

	const keys = new Set([...Object.keys(a), ...Object.keys(b)]);
	return [...keys].flatMap(key => changedPaths((a as Record<string, unknown>)[key], (b as Record<string, unknown>)[key], path === '' ? key : `${path}.${key}`));
}
