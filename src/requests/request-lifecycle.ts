import {
	initialTransition, setup, transition, type SnapshotFrom,
} from 'xstate';

/** Events of a request's lifecycle. `SENT` is reported before the first byte of an attempt that counts is sent. */
export type RequestEvent = {type: 'SENT'} | {type: 'DONE'} | {type: 'FAIL'};

/** State of a request. The last three are final. */
export type RequestState = 'unsent' | 'sent' | 'done' | 'not_run' | 'unknown';

// xstate reads only the type of this value.
const eventTypes: {events?: RequestEvent} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'request',
	initial: 'unsent',
	states: {
		// A request without a stage to send can be answered from a stored outcome.
		unsent: {on: {SENT: 'sent', DONE: 'done', FAIL: 'not_run'}},
		sent: {on: {SENT: 'sent', DONE: 'done', FAIL: 'unknown'}},
		done: {type: 'final'},
		not_run: {type: 'final'},
		unknown: {type: 'final'},
	},
});

const [initial] = initialTransition(machine);

/**
 * Lifecycle of one request: it decides whether a failure is `not_run` or `unknown`.
 *
 * @example
 * const lifecycle = RequestLifecycle.create();
 * lifecycle.send({type: 'FAIL'});
 * lifecycle.state; // 'not_run'
 */
export class RequestLifecycle {
	static create(): RequestLifecycle {
		return new RequestLifecycle();
	}

	#snapshot: SnapshotFrom<typeof machine> = initial;

	private constructor() {}

	get state(): RequestState {
		return this.#snapshot.value;
	}

	/** Applies an event; a final state ignores it. */
	send(event: RequestEvent): void {
		[this.#snapshot] = transition(machine, this.#snapshot, event);
	}
}
