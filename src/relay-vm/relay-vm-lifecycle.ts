import {
	initialTransition, setup, transition, type SnapshotFrom,
} from 'xstate';

/** Events of a relaying entry VM. */
export type RelayVmEvent = {type: 'CONFIGURED'} | {type: 'SHUTDOWN'} | {type: 'TURN_AWAY'} | {type: 'IDLE'};

/** State of a relaying entry VM: `draining` still takes requests, `leaving` turns new ones away. */
export type RelayVmState = 'starting' | 'serving' | 'draining' | 'leaving' | 'stopped';

// xstate reads only the type of this value.
const eventTypes: {events?: RelayVmEvent} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'relay-vm',
	initial: 'starting',
	states: {
		starting: {on: {CONFIGURED: 'serving', SHUTDOWN: 'draining'}},
		serving: {on: {SHUTDOWN: 'draining'}},
		draining: {on: {TURN_AWAY: 'leaving', IDLE: 'stopped'}},
		leaving: {on: {IDLE: 'stopped'}},
		stopped: {type: 'final'},
	},
});

const [initial] = initialTransition(machine);

/**
 * Lifecycle of a relaying entry VM.
 *
 * @example
 * lifecycle.send({type: 'CONFIGURED'});
 */
export class RelayVmLifecycle {
	static create(): RelayVmLifecycle {
		return new RelayVmLifecycle();
	}

	#snapshot: SnapshotFrom<typeof machine> = initial;

	private constructor() {}

	get state(): RelayVmState {
		return this.#snapshot.value;
	}

	send(event: RelayVmEvent): void {
		[this.#snapshot] = transition(machine, this.#snapshot, event);
	}
}
