import {booleanSchema, textSchema, type SettingTable} from '../settings/index.js';
import {operatorSettings} from './operator-client.js';

/** Settings of the commands that read a change. */
export const changeSettings = {
	...operatorSettings,
	remove: {
		flag: 'remove', help: 'Keys kind/name to remove, separated by commas.', fallback: '', schema: textSchema,
	},
	prune: {
		flag: 'prune', help: 'The files are the whole configuration: other declarations are removed.', fallback: 'false', schema: booleanSchema, isBoolean: true,
	},
} satisfies SettingTable;

/** Splits the value of `--remove`. */
export function parseRemovedKeys(text: string): string[] {
	return text.split(',').map(key => key.trim()).filter(key => key !== '');
}
