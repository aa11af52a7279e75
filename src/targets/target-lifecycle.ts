import {setup, transition} from 'xstate';
import type {TargetState} from './target.js';

/**
 * Events of a target's lifecycle: `CONTACT` a reply of the present start, `RESTARTED` a reply of another start,
 * `SUSPECT` calls or probes fail, `DRAIN` any source says that it drains, `REMOVED` it is no longer declared.
 */
export type TargetEvent = 'CONTACT' | 'RESTARTED' | 'SUSPECT' | 'DRAIN' | 'REMOVED';

const eventTypes: {events?: {type: TargetEvent}} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'target',
	initial: 'unknown',
	states: {
		unknown: {
			on: {
				CONTACT: 'healthy', RESTARTED: 'healthy', SUSPECT: 'suspect', DRAIN: 'draining', REMOVED: 'gone',
			},
		},
		healthy: {
			on: {
				RESTARTED: 'healthy', SUSPECT: 'suspect', DRAIN: 'draining', REMOVED: 'gone',
			},
		},
		suspect: {
			on: {
				CONTACT: 'healthy', RESTARTED: 'healthy', DRAIN: 'draining', REMOVED: 'gone',
			},
		},
		// Draining belongs to one start: only another start at the same address ends it.
		draining: {on: {RESTARTED: 'healthy', REMOVED: 'gone'}},
		gone: {type: 'final'},
	},
});

const states = ['unknown', 'healthy', 'suspect', 'draining', 'gone'] as const satisfies readonly TargetState[];
const events = ['CONTACT', 'RESTARTED', 'SUSPECT', 'DRAIN', 'REMOVED'] as const satisfies readonly TargetEvent[];
const table = new Map(states.flatMap(state => events.map(type => {
	const [next] = transition(machine, machine.resolveState({value: state}), {type});
	return [`${state}/${type}`, next.value] as const;
})));

/**
 * Returns the state of a target after an event. The table is computed once from the xstate machine.
 *
 * @example
 * nextTargetState('draining', 'CONTACT'); // 'draining'
 */
export function nextTargetState(state: TargetState, event: TargetEvent): TargetState {
	return table.get(`${state}/${event}`) ?? state;
}
