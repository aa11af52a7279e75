import {
	initialTransition, setup, transition, type SnapshotFrom,
} from 'xstate';

/** Events of a link's lifecycle. `SILENT` is reported after three intervals without a frame. */
export type LinkEvent = {type: 'OPEN'} | {type: 'AUTHENTICATED'} | {type: 'SILENT'} | {type: 'CLOSE'};

/** State of a link. */
export type LinkState = 'connecting' | 'handshaking' | 'up' | 'silent' | 'closed';

// xstate reads only the type of this value.
const eventTypes: {events?: LinkEvent} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'link',
	initial: 'connecting',
	states: {
		connecting: {on: {OPEN: 'handshaking', CLOSE: 'closed'}},
		handshaking: {on: {AUTHENTICATED: 'up', CLOSE: 'closed'}},
		up: {on: {SILENT: 'silent', CLOSE: 'closed'}},
		// A silent link never comes back: a fresh connection replaces it.
		silent: {on: {CLOSE: 'closed'}},
		closed: {type: 'final'},
	},
});

const [initial] = initialTransition(machine);

/**
 * Lifecycle of one link.
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
