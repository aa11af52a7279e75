import {
	initialTransition, setup, transition, type SnapshotFrom,
} from 'xstate';

/** Event in the lifecycle of a link. `SILENT` means that no frame arrived for three heartbeat intervals. */
export type LinkEvent = {type: 'OPEN'} | {type: 'AUTHENTICATED'} | {type: 'SILENT'} | {type: 'CLOSE'};

/** State of a link. */
export type LinkState = 'connecting' | 'handshaking' | 'up' | 'silent' | 'closed';

// Only the type of this value is used, by XState.
const eventTypes: {events?: LinkEvent} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'link',
	initial: 'connecting',
	states: {
		connecting: {on: {OPEN: 'handshaking', CLOSE: 'closed'}},
		handshaking: {on: {AUTHENTICATED: 'up', CLOSE: 'closed'}},
		up: {on: {SILENT: 'silent', CLOSE: 'closed'}},
		// A silent link does not recover: it is closed and replaced by a new connection.
		silent: {on: {CLOSE: 'closed'}},
		closed: {type: 'final'},
	},
});

const [initial] = initialTransition(machine);

/**
 * State machine for the lifecycle of a link.
 *
 * @example
 * const lifecycle = LinkLifecycle.create();
 * lifecycle.send({type: 'OPEN'});
 */
export class LinkLifecycle {
	static create(): LinkLifecycle {
		return new LinkLifecycle();
	}

	#snapshot: SnapshotFrom<typeof machine> = initial;

	private constructor() {}

	get state(): LinkState {
		return this.#snapshot.value;
	}

	send(event: LinkEvent): void {
		[this.#snapshot] = transition(machine, this.#snapshot, event);
	}
}
