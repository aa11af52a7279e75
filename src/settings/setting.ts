import {z} from 'zod';
import type {ListenAddress} from '../http/index.js';

/** One setting, given as flag `--name` or environment variable `GUAVAMILL_NAME`. The flag takes precedence. */
export interface Setting<T = unknown> {
	readonly flag: string;
	readonly help: string;
	/** Text that is used when neither the flag nor the variable is given. A setting without a fallback is required. */
	readonly fallback?: string;
	readonly schema: z.ZodType<T>;
	/** True for a boolean flag, which needs no value. */
	readonly isBoolean?: boolean;
}

/** Returns the name of the environment variable for a flag. */
export function environmentVariableName(flag: string): string {
	return `GUAVAMILL_${flag.replaceAll('-', '_').toUpperCase()}`;
}

const ipAndPortPattern = /^(?<host>\d{1,3}(?:\.\d{1,3}){3}|\[[\da-f:]+]):(?<port>\d{1,5})$/i;

/** Schema of an address in the form `IP:port`; an IPv6 address is in brackets. */
export const listenAddressSchema = z.string().transform((text, context): ListenAddress => {
	const groups = ipAndPortPattern.exec(text)?.groups;
	const port = Number(groups?.port);
	if (!groups || port > 65_535) {
		context.issues.push({code: 'custom', message: 'is not an IP address with a port (IP:port)', input: text});
		return z.NEVER;
	}

	return {host: groups.host!.replaceAll(/[[\]]/g, ''), port};
});

/** Schema of an `http://` origin. */
export const originSchema = z.url({protocol: /^http$/, error: 'is not an http:// URL'}).transform(text => new URL(text).origin);

/** Schema of a number between `min` and `max`, both included. */
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

/** Schema of a name: lower-case letters, digits, ".", "_" and "-"; the first character is a letter or digit. */
export const nameSchema = z.string().regex(/^[a-z\d][a-z\d._-]{0,62}$/, 'is not a name of 1 to 63 characters from a-z, 0-9, ".", "_", "-"');

/** Schema of a boolean, `true` or `false`. */
export const booleanSchema = z.string().transform((text, context) => {
	if (text !== 'true' && text !== 'false') {
		context.issues.push({code: 'custom', message: 'is not true or false', input: text});
		return z.NEVER;
	}

	return text === 'true';
});

/** Schema of any text. */
export const textSchema = z.string();
