import {ClaimTable, type ClaimVerdict} from '../../src/claims/index.js';

/**
 * Explicit-state model of the claim protocol for one key. Each state is expanded by every step that any entry VM, the
 * network or the clock can take next. A crash and a pause are paths on which an entry VM takes no further step; a
 * restart is another entry VM that starts with an empty fold. An append that is late or whose answer is lost is on its
 * way until the network lands it, at any later place. The verdicts come from the real fold.
 */

/** Phase of a claim at its entry VM. `closed` claims were given up, lost or released, and are never sent. */
type Phase = 'new' | 'waiting' | 'closed' | 'won' | 'sent' | 'settled';

type ModelState = {
	/** Records in log order: kind, claim number, log time. */
	readonly log: readonly string[];
	readonly flying: readonly string[];
	/** 0 within the key's lifetime, 1 after its entries are dropped. */
	readonly time: number;
	readonly offsets: readonly number[];
	readonly phases: readonly Phase[];
	readonly sent: number;
};

export interface ModelOptions {
	/** Entry VM of each claim. */
	readonly claims: readonly number[];
	/** A release whose answer was lost is appended again; this multiplies the states. */
	readonly withRepeatedReleases?: boolean;
	/** Sends as soon as the log has answered the append, without reading back. */
	readonly withoutReadBack?: boolean;
	/** Judges claims without regard to their place: a claim wins when it is in the log. */
	readonly withoutOrder?: boolean;
}

export interface ModelResult {
	readonly states: number;
	/** Most calls sent for the key in any state. */
	readonly maxSent: number;
	/** Steps to the first state with two calls. */
	readonly doubleRun?: readonly string[];
	readonly complete: boolean;
}

const maxStates = 3_000_000;
const notAfterMs = 1000;
const marginMs = 1000;

/** Explores every state; stops at the first double run. */
export function exploreClaims(options: ModelOptions): ModelResult {
	const vms = Math.max(...options.claims) + 1;
	const first: ModelState = {
		log: [], flying: [], time: 0, offsets: Array.from({length: vms}, () => 0), phases: options.claims.map(() => 'new'), sent: 0,
	};
	const cameFrom = new Map<string, readonly [from: string, step: string]>([[keyOf(first), ['', '']]]);
	const open = [first];
	let maxSent = 0;
	while (open.length > 0) {
		const state = open.pop()!;
		for (const [step, next] of stepsOf(state, options)) {
			const key = keyOf(next);
			if (cameFrom.has(key)) {
				continue;
			}

			cameFrom.set(key, [keyOf(state), step]);
			maxSent = Math.max(maxSent, next.sent);
			if (next.sent > 1 || cameFrom.size > maxStates) {
				return {
					states: cameFrom.size, maxSent, complete: false, ...(next.sent > 1 ? {doubleRun: pathTo(key, cameFrom)} : {}),
				};
			}

			open.push(next);
		}
	}

	return {states: cameFrom.size, maxSent, complete: true};
}

function stepsOf(state: ModelState, options: ModelOptions): Array<[string, ModelState]> {
	const steps: Array<[string, ModelState]> = [];
	for (const record of new Set(state.flying)) {
		steps.push([`land ${record}`, land({...state, flying: without(state.flying, record)}, record)]);
	}

	if (state.time === 0) {
		steps.push(['the key expires', {...state, time: 1}]);
	}

	for (const [vm, offset] of state.offsets.entries()) {
		if (offset < state.log.length) {
			steps.push([`vm ${vm} reads`, read(state, vm, options)]);
		}
	}

	for (const [claim, phase] of state.phases.entries()) {
		steps.push(...claimSteps(state, claim, phase, options));
	}

	return steps;
}

function claimSteps(state: ModelState, claim: number, phase: Phase, options: ModelOptions): Array<[string, ModelState]> {
	const to = (next: Phase, from = state): ModelState => ({...from, phases: from.phases.with(claim, next)});
	const appends = (record: string, next: Phase): Array<[string, ModelState]> => [
		[`append ${record}`, land(to(next), record)],
		[`append ${record} late`, {...to(next), flying: [...state.flying, record].sort()}],
	];
	switch (phase) {
		case 'new': {
			const [inTime, late] = appends(`claim${claim}`, 'waiting');
			return [options.withoutReadBack ? [inTime![0], to('won', inTime![1])] : inTime!, late!];
		}

		case 'waiting': {
			return [[`give up claim${claim}`, to('closed')]];
		}

		case 'won': {
			const release = `release${claim}`;
			const twice = land({...to('closed'), flying: [...state.flying, release].sort()}, release);
			return [
				[`send claim${claim}`, {...to('sent'), sent: state.sent + 1}],
				...appends(release, 'closed'),
				...(options.withRepeatedReleases ? [[`append ${release} twice`, twice] as [string, ModelState]] : []),
			];
		}

		case 'sent': {
			return appends(`outcome${claim}`, 'settled');
		}

		default: {
			return [];
		}
	}
}

/** Reads to the end of the log, as one page. A read of fewer records is a read at an earlier time. */
function read(state: ModelState, vm: number, options: ModelOptions): ModelState {
	let next: ModelState = {...state, offsets: state.offsets.with(vm, state.log.length)};
	for (let offset = state.offsets[vm]!; offset < state.log.length; offset++) {
		const [, kind, number] = /^(claim|release|outcome)(\d)/.exec(state.log[offset]!)!;
		const claim = Number(number);
		if (kind !== 'claim' || options.claims[claim] !== vm) {
			continue;
		}

		const verdict = options.withoutOrder ? 'won' : verdictOf(state.log.slice(0, offset + 1), options.claims);
		if (next.phases[claim] === 'waiting') {
			next = {...next, phases: next.phases.with(claim, verdict === 'won' ? 'won' : 'closed')};
		} else if (next.phases[claim] === 'closed' && verdict === 'won') {
			// The claim turned up after it was given up.
			next = land(next, `release${claim}`);
		}
	}

	return next;
}

const verdicts = new Map<string, ClaimVerdict>();

/** Verdict of the real fold on the last record. */
function verdictOf(log: readonly string[], owners: readonly number[]): ClaimVerdict {
	const key = `${owners.join('')} ${log.join(' ')}`;
	let verdict = verdicts.get(key);
	if (!verdict) {
		const table = ClaimTable.create({marginMs});
		for (const [offset, text] of log.entries()) {
			const [, kind, number, time] = /^(claim|release|outcome)(\d)@(\d)$/.exec(text)!;
			verdict = table.apply({
				offset,
				atMs: time === '0' ? notAfterMs : notAfterMs + marginMs + 2000,
				record: {
					kind, key: 'key', claimId: `claim${number}`, incarnation: `vm${owners[Number(number)]}`, notAfterMs, bodyHash: 'body', outcome: 'done',
				},
			}).verdict;
		}

		verdicts.set(key, verdict!);
	}

	return verdict!;
}

function land(state: ModelState, record: string): ModelState {
	return {...state, log: [...state.log, `${record}@${state.time}`]};
}

function without(records: readonly string[], record: string): string[] {
	return records.toSpliced(records.indexOf(record), 1);
}

function keyOf(state: ModelState): string {
	return `${state.log.join(' ')}|${state.flying.join(' ')}|${state.time}|${state.offsets.join(',')}|${state.phases.join(',')}`;
}

function pathTo(key: string, cameFrom: ReadonlyMap<string, readonly [string, string]>): string[] {
	const path: string[] = [];
	for (let [from, step] = cameFrom.get(key)!; step !== ''; [from, step] = cameFrom.get(from)!) {
		path.unshift(step);
	}

	return path;
}
