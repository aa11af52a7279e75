import {
	initialTransition, setup, transition, type SnapshotFrom,
} from 'xstate';

/** Event of an entry VM's lifecycle. `IDLE`: no requests are left in progress, or the time limit of draining has passed. */
export type EntryVmEvent = {type: 'LISTENING'} | {type: 'SHUTDOWN'} | {type: 'IDLE'};

/** State of an entry VM. */
export type EntryVmState = 'starting' | 'serving' | 'draining' | 'stopped';

// xstate reads only the type of this value.
const eventTypes: {events?: EntryVmEvent} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'entryVm',
	initial: 'starting',
	states: {
		starting: {on: {LISTENING: 'serving', SHUTDOWN: 'draining'}},
		serving: {on: {SHUTDOWN: 'draining'}},
		// A second SHUTDOWN is ignored, so that requests in progress are still completed.
		draining: {on: {IDLE: 'stopped'}},
		stopped: {type: 'final'},
	},
});

const [initial] = initialTransition(machine);

/**
 * Lifecycle of an entry VM.
 *
 * @example
 * const lifecycle = EntryVmLifecycle.create();
 * lifecycle.send({type: 'LISTENING'});
 */
export class EntryVmLifecycle {
	static create(): EntryVmLifecycle {
		return new EntryVmLifecycle();
	}

	#snapshot: SnapshotFrom<typeof machine> = initial;

	private constructor() {}

	get state(): EntryVmState {
		return this.#snapshot.value;
	}

	send(event: EntryVmEvent): void {
		[this.#snapshot] = transition(machine, this.#snapshot, event);
	}
}
