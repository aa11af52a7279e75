import {ClaimTable, type ClaimVerdict} from '../../src/claims/index.js';

/**
 * Explicit-state model checker for the claim protocol, limited to one key. Each state is expanded by every step that an
 * entry VM, the network or the clock can take next. A crash or a pause is a path on which an entry VM takes no further
 * step; a restart is another entry VM that starts with an empty claim table. An append that is delayed, or whose response
 * is lost, stays in flight until the network delivers it, at any later position in the log. The verdicts come from the
 * production `ClaimTable`.
 */

/** Phase of a claim at its entry VM. A `closed` claim was abandoned, lost or released; its call is never sent. */
type Phase = 'new' | 'waiting' | 'closed' | 'won' | 'sent' | 'settled';

type ModelState = {
	/** Records in log order, each written as kind, claim number and log time. */
	readonly log: readonly string[];
	/** Appends that the network has not delivered yet, sorted. */
	readonly inFlight: readonly string[];
	/** 0 within the key's lifetime, 1 after its entries are dropped. */
	readonly time: number;
	/** Read offset of each entry VM. */
	readonly offsets: readonly number[];
	/** Phase of each claim. */
	readonly phases: readonly Phase[];
	/** Number of calls sent for the key. */
	readonly sent: number;
};

/** Bounds of an exploration, and safeguards of the protocol to leave out. */
export interface ModelOptions {
	/** Entry VM of each claim. */
	readonly claims: readonly number[];
	/** Also explores releases that are appended twice because the first response was lost; this multiplies the states. */
	readonly withRepeatedReleases?: boolean;
	/** Leaves out the read-back: sends the call as soon as the log has acknowledged the append. */
	readonly withoutReadBack?: boolean;
	/** Leaves out the order of the log: any claim that is in the log wins. */
	readonly withoutOrder?: boolean;
}

/** Result of an exploration. */
export interface ModelResult {
	/** Number of distinct states reached. */
	readonly states: number;
	/** Highest number of calls sent for the key in any state. */
	readonly maxSent: number;
	/** Steps to the first state in which two calls were sent. */
	readonly counterexample?: readonly string[];
	/** Whether every reachable state was explored. */
	readonly complete: boolean;
}

const maxStates = 3_000_000;
const notAfterMs = 1000;
const marginMs = 1000;

/** Explores every reachable state; stops at the first state in which two calls were sent, or after `maxStates` states. */
export function exploreClaims(options: ModelOptions): ModelResult {
	const vms = Math.max(...options.claims) + 1;
	const initialState: ModelState = {
		log: [], inFlight: [], time: 0, offsets: Array.from({length: vms}, () => 0), phases: options.claims.map(() => 'new'), sent: 0,
	};
	const predecessors = new Map<string, readonly [from: string, step: string]>([[stateKey(initialState), ['', '']]]);
	const frontier = [initialState];
	let maxSent = 0;
	while (frontier.length > 0) {
		const state = frontier.pop()!;
		for (const [step, next] of stepsOf(state, options)) {
			const key = stateKey(next);
			if (predecessors.has(key)) {
				continue;
			}

			predecessors.set(key, [stateKey(state), step]);
			maxSent = Math.max(maxSent, next.sent);
			if (next.sent > 1 || predecessors.size > maxStates) {
				return {
					states: predecessors.size, maxSent, complete: false, ...(next.sent > 1 ? {counterexample: traceTo(key, predecessors)} : {}),
				};
			}

			frontier.push(next);
		}
	}

	return {states: predecessors.size, maxSent, complete: true};
}

function stepsOf(state: ModelState, options: ModelOptions): Array<[string, ModelState]> {
	const steps: Array<[string, ModelState]> = [];
	for (const record of new Set(state.inFlight)) {
		steps.push([`deliver ${record}`, appendRecord({...state, inFlight: withoutRecord(state.inFlight, record)}, record)]);
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
	const withPhase = (next: Phase, from = state): ModelState => ({...from, phases: from.phases.with(claim, next)});
	const appendSteps = (record: string, next: Phase): Array<[string, ModelState]> => [
		[`append ${record}`, appendRecord(withPhase(next), record)],
		[`append ${record} late`, {...withPhase(next), inFlight: [...state.inFlight, record].sort()}],
	];
	switch (phase) {
		case 'new': {
			const [inTime, late] = appendSteps(`claim${claim}`, 'waiting');
			return [options.withoutReadBack ? [inTime![0], withPhase('won', inTime![1])] : inTime!, late!];
		}

		case 'waiting': {
			return [[`abandon claim${claim}`, withPhase('closed')]];
		}

		case 'won': {
			const release = `release${claim}`;
			const twice = appendRecord({...withPhase('closed'), inFlight: [...state.inFlight, release].sort()}, release);
			return [
				[`send claim${claim}`, {...withPhase('sent'), sent: state.sent + 1}],
				...appendSteps(release, 'closed'),
				...(options.withRepeatedReleases ? [[`append ${release} twice`, twice] as [string, ModelState]] : []),
			];
		}

		case 'sent': {
			return appendSteps(`outcome${claim}`, 'settled');
		}

		default: {
			return [];
		}
	}
}

/** Reads to the end of the log in one page. A shorter read is equivalent to a read at an earlier time. */
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
			// The claim was delivered after it had been abandoned, and won: it is released.
			next = appendRecord(next, `release${claim}`);
		}
	}

	return next;
}

/** Memoized results of `verdictOf`. */
const verdicts = new Map<string, ClaimVerdict>();

/** Returns the verdict of `ClaimTable` on the last record of a log. */
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

/** Appends a record to the log with the current log time. */
function appendRecord(state: ModelState, record: string): ModelState {
	return {...state, log: [...state.log, `${record}@${state.time}`]};
}

function withoutRecord(records: readonly string[], record: string): string[] {
	return records.toSpliced(records.indexOf(record), 1);
}

function stateKey(state: ModelState): string {
	return `${state.log.join(' ')}|${state.inFlight.join(' ')}|${state.time}|${state.offsets.join(',')}|${state.phases.join(',')}`;
}

/** Returns the steps from the initial state to a state. */
function traceTo(key: string, predecessors: ReadonlyMap<string, readonly [string, string]>): string[] {
	const path: string[] = [];
	for (let [from, step] = predecessors.get(key)!; step !== ''; [from, step] = predecessors.get(from)!) {
		path.unshift(step);
	}

	return path;
}
