import type {z} from 'zod';
import {FindingsError, type Finding} from '../errors/index.js';
import {variableOf, type Setting} from './setting.js';

/** Settings by property name. */
export type SettingTable = Record<string, Setting>;

/** Values of a table of settings. */
export type SettingValues<T extends SettingTable> = {[K in keyof T]: T[K] extends Setting<infer V> ? V : never};

/** Where the values come from. */
export interface SettingSources {
	/** Flags by name, without dashes. */
	readonly flags: ReadonlyMap<string, string>;
	readonly env: Readonly<Record<string, string | undefined>>;
}

/**
 * Checks flags and variables against a table; throws `FindingsError` with every finding at once.
 *
 * @example
 * const settings = resolveSettings(serveSettings, {flags, env: process.env});
 */
export function resolveSettings<T extends SettingTable>(table: T, sources: SettingSources): SettingValues<T> {
	const findings: Finding[] = [];
	const values: Record<string, unknown> = {};
	const known = new Set(Object.values(table).map(setting => setting.flag));
	for (const [flag, value] of sources.flags) {
		if (!known.has(flag)) {
			findings.push({place: `--${flag}`, message: 'is not a flag of this command', value});
		}
	}

	for (const [property, setting] of Object.entries(table)) {
		const {place, text} = find(setting, sources);
		if (text === undefined) {
			findings.push({place: `--${setting.flag} or ${variableOf(setting.flag)}`, message: 'is missing'});
			continue;
		}

		const parsed = setting.schema.safeParse(text);
		if (parsed.success) {
			values[property] = parsed.data;
		} else {
			findings.push({place, message: messageOf(parsed.error), value: text});
		}
	}

	if (findings.length > 0) {
		throw FindingsError.create('use the settings', findings);
	}

	return values as SettingValues<T>;
}

function find(setting: Setting, sources: SettingSources): {place: string; text: string | undefined} {
	const flag = sources.flags.get(setting.flag);
	if (flag !== undefined) {
		return {place: `--${setting.flag}`, text: flag};
	}

	const variable = variableOf(setting.flag);
	const fromEnv = sources.env[variable];
	return fromEnv === undefined ? {place: `--${setting.flag}`, text: setting.fallback} : {place: variable, text: fromEnv};
}

function messageOf(error: z.ZodError): string {
	return error.issues.map(issue => issue.message).join(', ');
}
