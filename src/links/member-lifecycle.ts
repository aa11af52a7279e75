import {
	initialTransition, setup, transition, type SnapshotFrom,
} from 'xstate';

/**
 * Event in the lifecycle of a member: its link was established or lost, the VM list contains it or no longer does
 * (`ABSENT`), or another incarnation established a link under its name (`REPLACED`).
 */
export type MemberEvent = {type: 'LINKED'} | {type: 'LOST'} | {type: 'LISTED'} | {type: 'ABSENT'} | {type: 'REPLACED'};

/** State of a member: `joining` until it is first linked, `suspect` after its link was lost or could not be established. */
export type MemberState = 'joining' | 'live' | 'suspect' | 'gone';

// Only the type of this value is used, by XState.
const eventTypes: {events?: MemberEvent} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'member',
	initial: 'joining',
	states: {
		joining: {on: {LINKED: 'live', LOST: 'suspect', ABSENT: 'gone'}},
		// The VM list lags behind, so a linked member stays live when the list does not contain it.
		live: {on: {LOST: 'suspect', REPLACED: 'joining'}},
		suspect: {on: {LINKED: 'live', ABSENT: 'gone', REPLACED: 'joining'}},
		gone: {on: {LINKED: 'live', LISTED: 'joining'}},
	},
});

const [initial] = initialTransition(machine);

/**
 * State machine for the lifecycle of a member. A member is gone only when it is neither linked nor listed.
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
