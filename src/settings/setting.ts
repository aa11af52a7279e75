import {z} from 'zod';
import type {ListenAddress} from '../http/index.js';

/** One setting: a flag `--name` and the variable `GUAVAMILL_NAME`. The flag goes before the variable. */
export interface Setting<T = unknown> {
	readonly flag: string;
	readonly help: string;
	/** Text used where neither flag nor variable is given; without it the setting is required. */
	readonly fallback?: string;
	readonly schema: z.ZodType<T>;
	/** A switch needs no value. */
	readonly isSwitch?: boolean;
}

/** Name of the environment variable of a flag. */
export function variableOf(flag: string): string {
	return `GUAVAMILL_${flag.replaceAll('-', '_').toUpperCase()}`;
}

const ipPattern = /^(?<host>\d{1,3}(?:\.\d{1,3}){3}|\[[\da-f:]+]):(?<port>\d{1,5})$/i;

/** Schema of `IP:port`. */
export const listenAddressSchema = z.string().transform((text, context): ListenAddress => {
	const groups = ipPattern.exec(text)?.groups;
	const port = Number(groups?.port);
	if (!groups || port > 65_535) {
		context.issues.push({code: 'custom', message: 'is not an IP number with a port', input: text});
		return z.NEVER;
	}

	return {host: groups.host!.replaceAll(/[[\]]/g, ''), port};
});

/** Schema of an `http://` origin. */
export const originSchema = z.url({protocol: /^http$/, error: 'is not an http:// address'}).transform(text => new URL(text).origin);

/** Schema of a number in a range. */
export function numberSchema(min: number, max: number): z.ZodType<number> {
	return z.string().transform((text, context) => {
		const value = Number(text);
		if (text.trim() === '' || !Number.isFinite(value) || value < min || value > max) {
			context.issues.push({code: 'custom', message: `is not a number from ${min} to ${max}`, input: text});
			return z.NEVER;
		}

		return value;
	});
}

/** Schema of a name: lower-case letters, digits, ".", "_" and "-". */
export const nameSchema = z.string().regex(/^[a-z\d][a-z\d._-]{0,62}$/, 'is not a name of 1 to 63 of a-z, 0-9, ".", "_", "-"');

/** Schema of a switch. */
export const switchSchema = z.string().transform((text, context) => {
	if (text !== 'true' && text !== 'false') {
		context.issues.push({code: 'custom', message: 'is not true or false', input: text});
		return z.NEVER;
	}

	return text === 'true';
});

/** Schema of any text. */
export const textSchema = z.string();
