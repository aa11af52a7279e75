import {
	initialTransition, setup, transition, type SnapshotFrom,
} from 'xstate';

/** Events of a member: its link came up or was lost; the list names it or no longer does, as `ABSENT`. */
export type MemberEvent = {type: 'LINKED'} | {type: 'LOST'} | {type: 'LISTED'} | {type: 'ABSENT'} | {type: 'REPLACED'};

/** State of a member. */
export type MemberState = 'joining' | 'live' | 'suspect' | 'gone';

// xstate reads only the type of this value.
const eventTypes: {events?: MemberEvent} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'member',
	initial: 'joining',
	states: {
		joining: {on: {LINKED: 'live', LOST: 'suspect', ABSENT: 'gone'}},
		// The list lags, so a member with a link stays live when the list does not name it.
		live: {on: {LOST: 'suspect', REPLACED: 'joining'}},
		suspect: {on: {LINKED: 'live', ABSENT: 'gone', REPLACED: 'joining'}},
		gone: {on: {LINKED: 'live', LISTED: 'joining'}},
	},
});

const [initial] = initialTransition(machine);

/**
 * Lifecycle of one member. It is gone only when both its link and the list say so.
 *
 * @example
 * const lifecycle = MemberLifecycle.create();
 * lifecycle.send({type: 'LINKED'});
 */
export class MemberLifecycle {
	static create(): MemberLifecycle {
		return new MemberLifecycle();
	}

	#snapshot: SnapshotFrom<typeof machine> = initial;

	private constructor() {}

	get state(): MemberState {
		return this.#snapshot.value;
	}

	send(event: MemberEvent): void {
		[this.#snapshot] = transition(machine, this.#snapshot, event);
	}
}
