import {setup, transition} from 'xstate';

/**
 * Event of a lease at one process:
 * - `APPENDED`: a record is being appended to the log;
 * - `WON`: the record was read back and made this process the holder;
 * - `LOST`: another process holds the lease, or this process stopped;
 * - `SETTLED`: orders of an earlier holder can no longer take effect;
 * - `EXPIRED`: the lease, or the attempt to acquire it, expired by the local clock.
 */
export type LeaseEvent = 'APPENDED' | 'WON' | 'LOST' | 'SETTLED' | 'EXPIRED';

/**
 * State of a lease at one process:
 * - `idle`: the process neither has the lease nor is acquiring it;
 * - `pending`: a record that acquires the lease is not yet read back;
 * - `settling`: the process has the lease, but an order of an earlier holder may still take effect;
 * - `holding`: the process has the lease and may send orders.
 */
export type LeaseState = 'idle' | 'pending' | 'settling' | 'holding';

// XState uses only the type of this value.
const eventTypes: {events?: {type: LeaseEvent}} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'lease',
	initial: 'idle',
	states: {
		idle: {on: {APPENDED: 'pending'}},
		pending: {on: {WON: 'settling', LOST: 'idle', EXPIRED: 'idle'}},
		settling: {on: {SETTLED: 'holding', LOST: 'idle', EXPIRED: 'idle'}},
		holding: {on: {LOST: 'idle', EXPIRED: 'idle'}},
	},
});

/** Returns the state of a lease after an event. */
export function nextLeaseState(state: LeaseState, event: LeaseEvent): LeaseState {
	const [next] = transition(machine, machine.resolveState({value: state}), {type: event});
	return next.value;
}
