import {setup, transition} from 'xstate';

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

const states = ['unsent', 'sent', 'done', 'not_run', 'unknown'] as const;
const events = [{type: 'SENT'}, {type: 'DONE'}, {type: 'FAIL'}] as const satisfies readonly RequestEvent[];

/** Next state for each state and event, computed once: a transition in xstate costs about 10 us, a look-up none. */
const table = new Map(states.flatMap(state => events.map(event => {
	const [next] = transition(machine, machine.resolveState({value: state}), event);
	return [`${state}/${event.type}`, next.value] as const;
})));

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

	#state: RequestState = 'unsent';

	private constructor() {}

	get state(): RequestState {
		return this.#state;
	}

	/** Applies an event; a final state ignores it. */
	send(event: RequestEvent): void {
		this.#state = table.get(`${this.#state}/${event.type}`) ?? this.#state;
	}
}
