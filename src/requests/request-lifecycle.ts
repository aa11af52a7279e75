import {setup, transition} from 'xstate';

/**
 * Event of a request's lifecycle. `SENT` is reported before an attempt that excludes the outcome `not_run` sends its first
 * byte.
 */
export type RequestEvent = {type: 'SENT'} | {type: 'DONE'} | {type: 'FAIL'};

/** State of a request. `done`, `not_run` and `unknown` are final. */
export type RequestState = 'unsent' | 'sent' | 'done' | 'not_run' | 'unknown';

// XState uses only the type of this value.
const eventTypes: {events?: RequestEvent} = {};
const machine = setup({types: eventTypes}).createMachine({
	id: 'request',
	initial: 'unsent',
	states: {
		// A request can be answered from a stored result without sending a stage.
		unsent: {on: {SENT: 'sent', DONE: 'done', FAIL: 'not_run'}},
		sent: {on: {SENT: 'sent', DONE: 'done', FAIL: 'unknown'}},
		done: {type: 'final'},
		not_run: {type: 'final'},
		unknown: {type: 'final'},
	},
});

const states = ['unsent', 'sent', 'done', 'not_run', 'unknown'] as const;
const events = [{type: 'SENT'}, {type: 'DONE'}, {type: 'FAIL'}] as const satisfies readonly RequestEvent[];

/** Next state for each state and event, precomputed because a transition in XState takes about 10 microseconds. */
const transitions = new Map(states.flatMap(state => events.map(event => {
	const [next] = transition(machine, machine.resolveState({value: state}), event);
	return [`${state}/${event.type}`, next.value] as const;
})));

/**
 * Lifecycle of one request, which decides whether a failure has the outcome `not_run` or `unknown`.
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

	#state: RequestState = 'unsent';

	private constructor() {}

	/** Current state. */
	get state(): RequestState {
		return this.#state;
	}

	/** Applies an event; final states ignore all events. */
	send(event: RequestEvent): void {
		this.#state = transitions.get(`${this.#state}/${event.type}`) ?? this.#state;
	}
}
