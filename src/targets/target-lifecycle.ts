import {setup, transition} from 'xstate';
import type {TargetState} from './target.js';

/**
 * Events of a target's lifecycle. `REPLY`: a reply with the current start id; `RESTARTED`: a reply with a new start id;
 * `SUSPECT`: too many calls or probes failed; `DRAIN`: the target or another source reported that it is draining;
 * `REMOVED`: the target is no longer declared.
 */
export type TargetEvent = 'REPLY' | 'RESTARTED' | 'SUSPECT' | 'DRAIN' | 'REMOVED';

const machineTypes: {events?: {type: TargetEvent}} = {};
const machine = setup({types: machineTypes}).createMachine({
	id: 'target',
	initial: 'unknown',
	states: {
		unknown: {
			on: {
				REPLY: 'healthy', RESTARTED: 'healthy', SUSPECT: 'suspect', DRAIN: 'draining', REMOVED: 'gone',
			},
		},
		healthy: {
			on: {
				RESTARTED: 'healthy', SUSPECT: 'suspect', DRAIN: 'draining', REMOVED: 'gone',
			},
		},
		suspect: {
			on: {
				REPLY: 'healthy', RESTARTED: 'healthy', DRAIN: 'draining', REMOVED: 'gone',
			},
		},
		// Draining applies to one process; only a restart at the same address makes the target healthy again.
		draining: {on: {RESTARTED: 'healthy', REMOVED: 'gone'}},
		gone: {type: 'final'},
	},
});

const states = ['unknown', 'healthy', 'suspect', 'draining', 'gone'] as const satisfies readonly TargetState[];
const events = ['REPLY', 'RESTARTED', 'SUSPECT', 'DRAIN', 'REMOVED'] as const satisfies readonly TargetEvent[];
const transitionTable = new Map(states.flatMap(state => events.map(type => {
	const [next] = transition(machine, machine.resolveState({value: state}), {type});
	return [`${state}/${type}`, next.value] as const;
})));

/**
 * Returns the state of a target after an event, from a table that is computed once from the state machine.
 *
 * @example
 * nextTargetState('draining', 'REPLY'); // 'draining'
 */
export function nextTargetState(state: TargetState, event: TargetEvent): TargetState {
	return transitionTable.get(`${state}/${event}`) ?? state;
}
