import type {z} from 'zod';
import {FindingsError, type Finding} from '../errors/index.js';
import {environmentVariableName, type Setting} from './setting.js';

/** Setting definitions by property name. */
export type SettingTable = Record<string, Setting>;

/** Resolved values of the settings in a table. */
export type SettingValues<T extends SettingTable> = {[K in keyof T]: T[K] extends Setting<infer V> ? V : never};

/** Sources of the values. */
export interface SettingSources {
	/** Flags by name, without dashes. */
	readonly flags: ReadonlyMap<string, string>;
	/** Environment variables by name. */
	readonly env: Readonly<Record<string, string | undefined>>;
}

/**
 * Reads the settings of a table from flags and environment variables and validates them. Throws a `FindingsError` with
 * all findings.
 *
 * @example
 * const settings = resolveSettings(serveSettings, {flags, env: process.env});
 */
export function resolveSettings<T extends SettingTable>(table: T, sources: SettingSources): SettingValues<T> {
	const findings: Finding[] = [];
	const values: Record<string, unknown> = {};
	const knownFlags = new Set(Object.values(table).map(setting => setting.flag));
	for (const [flag, value] of sources.flags) {
		if (!knownFlags.has(flag)) {
			findings.push({place: `--${flag}`, message: 'is not a flag of this command', value});
		}
	}

	for (const [property, setting] of Object.entries(table)) {
		const {place, text} = findText(setting, sources);
		if (text === undefined) {
			findings.push({place: `--${setting.flag} or ${environmentVariableName(setting.flag)}`, message: 'is missing'});
			continue;
		}

		const parsed = setting.schema.safeParse(text);
		if (parsed.success) {
			values[property] = parsed.data;
		} else {
			findings.push({place, message: formatIssues(parsed.error), value: text});
		}
	}

	if (findings.length > 0) {
		throw FindingsError.create('use the settings', findings);
	}

	return values as SettingValues<T>;
}

function findText(setting: Setting, sources: SettingSources): {place: string; text: string | undefined} {
	const flag = sources.flags.get(setting.flag);
	if (flag !== undefined) {
		return {place: `--${setting.flag}`, text: flag};
	}

	const variable = environmentVariableName(setting.flag);
	const environmentText = sources.env[variable];
	return environmentText === undefined ? {place: `--${setting.flag}`, text: setting.fallback} : {place: variable, text: environmentText};
}

function formatIssues(error: z.ZodError): string {
	return error.issues.map(issue => issue.message).join(', ');
}
