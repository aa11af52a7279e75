import {
	initialTransition, setup, transition, type SnapshotFrom,
} from 'xstate';

/** Events of the follower: a read reached the end of the stream, a read failed, or the follower was stopped. */
export type ClaimsFollowerEvent = {type: 'CAUGHT_UP'} | {type: 'FAILED'} | {type: 'STOP'};

/** State of the follower: `following` means that the last read succeeded and reached the end of the stream. */
export type ClaimsFollowerState = 'starting' | 'following' | 'outage' | 'stopped';

// xstate reads only the type of this value.
const eventTypes: {events?: ClaimsFollowerEvent} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'claimsFollower',
	initial: 'starting',
	states: {
		starting: {on: {CAUGHT_UP: 'following', FAILED: 'outage', STOP: 'stopped'}},
		following: {on: {FAILED: 'outage', STOP: 'stopped'}},
		// After an outage, claims are taken again only when every record was read.
		outage: {on: {CAUGHT_UP: 'following', STOP: 'stopped'}},
		stopped: {type: 'final'},
	},
});

const [initial] = initialTransition(machine);

/**
 * Lifecycle of the follower of the stream `claims`.
 *
 * @internal
 */
export class ClaimsFollowerLifecycle {
	static create(): ClaimsFollowerLifecycle {
		return new ClaimsFollowerLifecycle();
	}

	#snapshot: SnapshotFrom<typeof machine> = initial;

	private constructor() {}

	get state(): ClaimsFollowerState {
		return this.#snapshot.value;
	}

	/** Applies an event; returns true when the state changed. */
	send(event: ClaimsFollowerEvent): boolean {
		const before = this.state;
		[this.#snapshot] = transition(machine, this.#snapshot, event);
		return this.state !== before;
	}
}
