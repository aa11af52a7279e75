import {setup, transition} from 'xstate';

/**
 * Events of a lease at one process: `APPENDED` a record was sent to the log, `WON` it was read back as the holder's,
 * `LOST` another holds it, `SETTLED` the earlier holder's last order has ended, `LAPSED` it expired by the local clock.
 */
export type LeaseEvent = 'APPENDED' | 'WON' | 'LOST' | 'SETTLED' | 'LAPSED';

/** State of a lease at one process. Orders are given only in `holding`. */
export type LeaseState = 'idle' | 'pending' | 'settling' | 'holding';

const eventTypes: {events?: {type: LeaseEvent}} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'lease',
	initial: 'idle',
	states: {
		idle: {on: {APPENDED: 'pending'}},
		pending: {on: {WON: 'settling', LOST: 'idle', LAPSED: 'idle'}},
		// The earlier holder may still have an order under way.
		settling: {on: {SETTLED: 'holding', LOST: 'idle', LAPSED: 'idle'}},
		holding: {on: {LOST: 'idle', LAPSED: 'idle'}},
	},
});

/** Returns the state of a lease after an event. */
export function nextLeaseState(state: LeaseState, event: LeaseEvent): LeaseState {
	const [next] = transition(machine, machine.resolveState({value: state}), {type: event});
	return next.value;
}
