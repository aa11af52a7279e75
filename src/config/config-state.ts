import {createHash} from 'node:crypto';
import {z} from 'zod';
import {checkDeclarations} from './check-declarations.js';
import type {AppliedConfig} from './config-view.js';
import {DeclarationSet} from './declarations-set.js';
import {declarationKey, declarationSchema, type Declaration} from './declarations.js';

const changeVerdictSchema = z.object({
	id: z.string(), verdict: z.enum(['accepted', 'conflict', 'invalid']), revision: z.number().int(),
});

/** Verdict of a change; `revision` is the revision in force after it was folded. */
export type ChangeVerdict = z.infer<typeof changeVerdictSchema>;

/** Whole configuration state at an offset, as snapshots and peers carry it. */
export const configStateSchema = z.object({
	offset: z.number().int().nonnegative(),
	revision: z.number().int().min(-1),
	/** Declarations; checked when the state is decoded. */
	state: z.array(z.unknown()),
	verdicts: z.array(changeVerdictSchema).default([]),
	/** SHA-256 of offset, revision, declarations and verdicts; detects corruption. */
	digest: z.string(),
	/** Age of the sender's knowledge when it sent the state, in ms. */
	age_ms: z.number().nonnegative().default(0),
});

/** Whole configuration state at an offset. */
export type ConfigState = z.infer<typeof configStateSchema>;

/** Builds the state of a configuration. Declarations are in the order of their keys, so that equal sets give equal states. */
export function encodeConfigState(config: AppliedConfig, verdicts: ChangeVerdict[], ageMs = 0): ConfigState {
	const state = sorted(config.declarations);
	const {offset, revision} = config;
	return {
		offset, revision, state, verdicts, digest: digestOf({
			offset, revision, state, verdicts,
		}), age_ms: ageMs,
	};
}

/** A decoded state. */
export interface DecodedConfigState {
	readonly config: AppliedConfig;
	readonly verdicts: readonly ChangeVerdict[];
	readonly ageMs: number;
}

/**
 * Decodes and checks a state; `undefined` where it is malformed, corrupt or inconsistent.
 *
 * @example
 * const decoded = decodeConfigState(record);
 */
export function decodeConfigState(value: unknown): DecodedConfigState | undefined {
	const parsed = configStateSchema.safeParse(value);
	if (!parsed.success || parsed.data.revision > parsed.data.offset || parsed.data.digest !== digestOf(parsed.data)) {
		return undefined;
	}

	const {offset, revision, verdicts, age_ms: ageMs} = parsed.data;
	// The digest covers the declarations as they were written; parsing adds defaults that a writer of an older version did not know.
	const state = z.array(declarationSchema).safeParse(parsed.data.state);
	if (!state.success) {
		return undefined;
	}

	const declarations = DeclarationSet.create(state.data);
	if (declarations.byKey.size !== state.data.length || checkDeclarations(declarations).some(finding => finding.severity === 'error')) {
		return undefined;
	}

	return {config: {offset, revision, declarations}, verdicts, ageMs};
}

/** True when a state may replace the configuration in force: it is newer, and nothing reverts. */
export function isNewerConfig(candidate: AppliedConfig, current: AppliedConfig): boolean {
	return candidate.offset > current.offset
		&& (candidate.revision > current.revision
			|| (candidate.revision === current.revision && isSameConfig(candidate, current)));
}

/** True when two configurations have equal declarations. */
export function isSameConfig(a: AppliedConfig, b: AppliedConfig): boolean {
	return JSON.stringify(canonical(sorted(a.declarations))) === JSON.stringify(canonical(sorted(b.declarations)));
}

function sorted(declarations: DeclarationSet): Declaration[] {
	return [...declarations.byKey.values()].toSorted((a, b) => declarationKey(a) < declarationKey(b) ? -1 : 1);
}

function digestOf(state: Pick<ConfigState, 'offset' | 'revision' | 'state' | 'verdicts'>): string {
	const text = JSON.stringify(canonical([state.offset, state.revision, state.state, state.verdicts.map(({id, verdict, revision}) => [id, verdict, revision])]));
	return createHash('sha256').update(text).digest('hex');
}

/** Sorts object keys, so that the digest does not depend on the order in which a transport keeps them. */
function canonical(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.map(item => canonical(item));
	}

	if (typeof value === 'object' && value !== null) {
		const entries = Object.entries(value).filter(([, item]) => item !== undefined).toSorted(([a], [b]) => a < b ? -1 : 1);
		return Object.fromEntries(entries.map(([key, item]) => [key, canonical(item)]));
	}

	return value;
}
