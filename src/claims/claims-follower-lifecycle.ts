import {
	initialTransition, setup, transition, type SnapshotFrom,
} from 'xstate';

/** Events of the claims follower: a read reached the end of the stream, a read failed, or the follower was stopped. */
export type ClaimsFollowerEvent = {type: 'CAUGHT_UP'} | {type: 'FAILED'} | {type: 'STOP'};

/** State of the claims follower. `following`: it has reached the end of the stream, and no read has failed since. */
export type ClaimsFollowerState = 'starting' | 'following' | 'outage' | 'stopped';

// XState uses only the type of this value.
const eventTypes: {events?: ClaimsFollowerEvent} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'claimsFollower',
	initial: 'starting',
	states: {
		starting: {on: {CAUGHT_UP: 'following', FAILED: 'outage', STOP: 'stopped'}},
		following: {on: {FAILED: 'outage', STOP: 'stopped'}},
		// After an outage, claims are accepted again only once every record has been read.
		outage: {on: {CAUGHT_UP: 'following', STOP: 'stopped'}},
		stopped: {type: 'final'},
	},
});

const [initial] = initialTransition(machine);

/**
 * State machine of the claims follower.
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
