import {
	initialTransition, setup, transition, type SnapshotFrom,
} from 'xstate';

/** Lifecycle event of an entry VM that relays requests. */
export type RelayVmEvent = {type: 'CONFIGURED'} | {type: 'SHUTDOWN'} | {type: 'STOP'};

/** Lifecycle state of an entry VM that relays requests. */
export type RelayVmState = 'starting' | 'serving' | 'draining' | 'stopped';

// xstate uses only the type of this value.
const eventTypes: {events?: RelayVmEvent} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'relay-vm',
	initial: 'starting',
	states: {
		starting: {on: {CONFIGURED: 'serving', SHUTDOWN: 'draining'}},
		serving: {on: {SHUTDOWN: 'draining'}},
		draining: {on: {STOP: 'stopped'}},
		stopped: {type: 'final'},
	},
});

const [initial] = initialTransition(machine);

/**
 * Lifecycle state machine of an entry VM that relays requests.
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

	/** Current state. */
	get state(): RelayVmState {
		return this.#snapshot.value;
	}

	/** Applies an event; one without a transition from the current state is ignored. */
	send(event: RelayVmEvent): void {
		[this.#snapshot] = transition(machine, this.#snapshot, event);
	}
}
