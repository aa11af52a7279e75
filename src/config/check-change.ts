import {checkDeclarations} from './check-declarations.js';
import type {DeclarationFinding} from './declaration-finding.js';
import type {DeclarationSet} from './declaration-set.js';
import {declarationKey, type Declaration, type DeclarationKey} from './declarations.js';

/**
 * Validates a change: keys that occur more than once, removals of undeclared keys, and the references between the declarations
 * that the change would produce.
 *
 * @example
 * const findings = checkChange(current, {set: [team], remove: ['zone/riga-a']});
 */
export function checkChange(current: DeclarationSet, change: {set: readonly Declaration[]; remove: readonly string[]}): DeclarationFinding[] {
	const findings: DeclarationFinding[] = [];
	const addError = (key: string, message: string) => {
		findings.push({
			severity: 'error', key, path: '', message,
		});
	};

	const keys = new Set<string>();
	for (const key of [...change.set.map(declaration => declarationKey(declaration)), ...change.remove]) {
		if (keys.has(key)) {
			addError(key, 'occurs more than once in the change');
		}

		keys.add(key);
	}

	for (const key of change.remove) {
		if (!current.byKey.has(key as DeclarationKey)) {
			addError(key, 'cannot be removed: it is not declared');
		}
	}

	return [...findings, ...checkDeclarations(current.with(change.set, change.remove as DeclarationKey[]))];
}
