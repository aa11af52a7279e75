import {createHash} from 'node:crypto';
import {z} from 'zod';
import {checkDeclarations} from './check-declarations.js';
import type {AppliedConfig} from './config-view.js';
import {DeclarationSet} from './declaration-set.js';
import {declarationKey, declarationSchema, type Declaration} from './declarations.js';

const changeVerdictSchema = z.object({
	id: z.string(), verdict: z.enum(['accepted', 'conflict', 'invalid']), revision: z.number().int(),
});

/** Verdict of a change. `revision` is the revision in force after the change was folded. */
export type ChangeVerdict = z.infer<typeof changeVerdictSchema>;

/** Complete configuration state at an offset, as stored in snapshots and exchanged between peers. */
export const configStateSchema = z.object({
	offset: z.number().int().nonnegative(),
	revision: z.number().int().min(-1),
	/** Declarations; validated when the state is decoded. */
	state: z.array(z.unknown()),
	verdicts: z.array(changeVerdictSchema).default([]),
	/** SHA-256 of offset, revision, declarations and verdicts; detects corruption. */
	digest: z.string(),
	/** Time since the sender last knew its configuration to be current, in ms, when it sent the state. */
	age_ms: z.number().nonnegative().default(0),
});

/** Complete configuration state at an offset. */
export type ConfigState = z.infer<typeof configStateSchema>;

/** Encodes a configuration. Declarations are sorted by key, so that equal sets produce equal states. */
export function encodeConfigState(config: AppliedConfig, verdicts: ChangeVerdict[], ageMs = 0): ConfigState {
	const state = sortedDeclarations(config.declarations);
	const {offset, revision} = config;
	return {
		offset, revision, state, verdicts, digest: computeDigest({
			offset, revision, state, verdicts,
		}), age_ms: ageMs,
	};
}

/** A configuration state after decoding and validation. */
export interface DecodedConfigState {
	readonly config: AppliedConfig;
	readonly verdicts: readonly ChangeVerdict[];
	readonly ageMs: number;
}

/**
 * Decodes and validates a state. Returns `undefined` if it is malformed, corrupt or inconsistent.
 *
 * @example
 * const decoded = decodeConfigState(record);
 */
export function decodeConfigState(value: unknown): DecodedConfigState | undefined {
	const parsed = configStateSchema.safeParse(value);
	if (!parsed.success || parsed.data.revision > parsed.data.offset || parsed.data.digest !== computeDigest(parsed.data)) {
		return undefined;
	}

	const {offset, revision, verdicts, age_ms: ageMs} = parsed.data;
	// The digest covers the declarations as written. Parsing adds default values that an older version did not write.
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

/**
 * True when `candidate` may replace `current`: its offset is higher, and its revision is higher, or equal with the same
 * declarations.
 */
export function isNewerConfig(candidate: AppliedConfig, current: AppliedConfig): boolean {
	return candidate.offset > current.offset
		&& (candidate.revision > current.revision
			|| (candidate.revision === current.revision && isSameConfig(candidate, current)));
}

/** True when two configurations have equal declarations. */
export function isSameConfig(a: AppliedConfig, b: AppliedConfig): boolean {
	return JSON.stringify(canonicalize(sortedDeclarations(a.declarations))) === JSON.stringify(canonicalize(sortedDeclarations(b.declarations)));
}

function sortedDeclarations(declarations: DeclarationSet): Declaration[] {
	return [...declarations.byKey.values()].toSorted((a, b) => declarationKey(a) < declarationKey(b) ? -1 : 1);
}

function computeDigest(state: Pick<ConfigState, 'offset' | 'revision' | 'state' | 'verdicts'>): string {
	const text = JSON.stringify(canonicalize([state.offset, state.revision, state.state, state.verdicts.map(({id, verdict, revision}) => [id, verdict, revision])]));
	return createHash('sha256').update(text).digest('hex');
}

/** Sorts object keys recursively, so that the digest does not depend on the key order of a transport. */
function canonicalize(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.map(item => canonicalize(item));
	}

	if (typeof value === 'object' && value !== null) {
		const entries = Object.entries(value).filter(([, item]) => item !== undefined).toSorted(([a], [b]) => a < b ? -1 : 1);
		return Object.fromEntries(entries.map(([key, item]) => [key, canonicalize(item)]));
	}

	return value;
}
