import {
	initialTransition, setup, transition, type SnapshotFrom,
} from 'xstate';

/** Events of the follower's lifecycle. */
export type ConfigLifecycleEvent = {type: 'READ'} | {type: 'FAILED'} | {type: 'GAP'};

/** State of the follower. `gap`: records that it has not read have expired. */
export type ConfigLifecycleState = 'unreachable' | 'following' | 'gap';

// XState uses only the type of this value.
const eventTypes: {events?: ConfigLifecycleEvent} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'configFollower',
	initial: 'unreachable',
	states: {
		unreachable: {on: {READ: 'following', GAP: 'gap'}},
		following: {on: {FAILED: 'unreachable', GAP: 'gap'}},
		gap: {on: {READ: 'following', FAILED: 'unreachable'}},
	},
});

const [initial] = initialTransition(machine);

/**
 * Lifecycle of the configuration follower.
 *
 * @internal
 */
export class ConfigLifecycle {
	static create(): ConfigLifecycle {
		return new ConfigLifecycle();
	}

	#snapshot: SnapshotFrom<typeof machine> = initial;

	private constructor() {}

	get state(): ConfigLifecycleState {
		return this.#snapshot.value;
	}

	/** Applies an event; returns true when the state changed. */
	send(event: ConfigLifecycleEvent): boolean {
		const before = this.state;
		[this.#snapshot] = transition(machine, this.#snapshot, event);
		return this.state !== before;
	}
}
