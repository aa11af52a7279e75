import {booleanSchema, textSchema, type SettingTable} from '../settings/index.js';
import {operatorSettings} from './operator-client.js';

/** Settings of the commands that read a configuration change. */
export const changeSettings = {
	...operatorSettings,
	remove: {
		flag: 'remove', help: 'Declarations to remove, as keys kind/name separated by commas.', fallback: '', schema: textSchema,
	},
	prune: {
		flag: 'prune', help: 'Treats the files as the whole configuration and removes all other declarations.', fallback: 'false', schema: booleanSchema, isBoolean: true,
	},
} satisfies SettingTable;

/** Parses the value of `--remove`. */
export function parseRemovedKeys(text: string): string[] {
	return text.split(',').map(key => key.trim()).filter(key => key !== '');
}
