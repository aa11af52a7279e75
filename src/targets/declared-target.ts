import {setMaxListeners} from 'node:events';
import type {Clock, Ms} from '../clock/index.js';
import type {Pool, TargetDeclaration} from '../config/index.js';
import type {EventRecorder} from '../events/index.js';
import type {EnginePort, TargetHealth, TargetLoad} from './engine-port.js';
import type {ServicePort} from './service-port.js';
import {nextTargetState, type TargetEvent} from './target-lifecycle.js';
import type {Target, TargetState} from './target.js';

/** Incidents of lost calls in a row, without a reply between them, before a target is suspect although it answers probes. */
const maxLostInRow = 4;
/** Calls lost within this time of each other are one incident: connections go silent together. */
const incidentMs: Ms = 1000;
/** Calls failed in a row before a target is suspect. */
const maxFailedInRow = 3;
/** Time that a suspect target stays out, doubled for each time in a row. */
const minEjectionMs: Ms = 1000;
const maxEjectionMs: Ms = 8000;

/** One declared target with its present state. @internal */
export class DeclaredTarget implements Target {
	engine: EnginePort | undefined;
	service: ServicePort | undefined;
	startId: string | undefined;
	inFlight = 0;
	load: TargetLoad | undefined;
	#state: TargetState = 'unknown';
	/** Asks for a probe at once; set by the prober. */
	onDoubt: () => void = () => undefined;
	#lostInRow = 0;
	#lastLostAt: Ms = Number.NEGATIVE_INFINITY;
	#failedInRow = 0;
	#ejections = 0;
	#ejectedUntil: Ms = 0;
	#suspected = createSignal();

	constructor(
		readonly declaration: TargetDeclaration,
		readonly pool: Pool,
		readonly region: string,
		private readonly parts: {clock: Clock; events: EventRecorder; onState: () => void},
	) {}

	get name(): string {
		return this.declaration.name;
	}

	get zone(): string {
		return this.declaration.zone;
	}

	get state(): TargetState {
		return this.#state;
	}

	get dispatchable(): boolean {
		return this.#state === 'unknown' || this.#state === 'healthy';
	}

	get suspected(): AbortSignal {
		return this.#suspected.signal;
	}

	/** Applies the health that a reply or a probe carried. */
	contact(health: TargetHealth): void {
		if (this.startId !== undefined && this.startId !== health.startId) {
			// Another start at the same address is a new target: what was known of the old one is void.
			this.#lostInRow = 0;
			this.#failedInRow = 0;
			this.#ejections = 0;
			this.load = undefined;
			this.startId = health.startId;
			this.send('RESTARTED', `start ${health.startId}`);
		}

		this.startId = health.startId;
		if (health.draining) {
			this.send('DRAIN', `${health.startId} by its own word`);
		} else if (this.parts.clock.now() >= this.#ejectedUntil) {
			this.send('CONTACT', 'contact');
		}
	}

	/** Marks the present start as draining; another start is left alone. */
	drain(startId: string, source: string): void {
		if (this.startId === undefined || this.startId === startId) {
			this.startId = startId;
			this.send('DRAIN', `${startId} by ${source}`);
		}
	}

	callEnded(result: 'ok' | 'failed' | 'lost' | 'cancelled'): void {
		this.inFlight--;
		if (this.#state === 'suspect') {
			// Attempts that the suspicion itself ended say nothing new.
			return;
		}

		if (result === 'ok') {
			this.#lostInRow = 0;
			this.#failedInRow = 0;
			this.#ejections = 0;
		}

		this.#failedInRow += result === 'failed' ? 1 : 0;
		if (result === 'lost') {
			this.#countLost();
		}

		if (this.#lostInRow >= maxLostInRow || this.#failedInRow >= maxFailedInRow) {
			this.suspect(`${this.#lostInRow} lost and ${this.#failedInRow} failed calls in a row`);
		}
	}

	/** A lost call may be the connection's fault, so a probe on a fresh connection decides. */
	#countLost(): void {
		const now = this.parts.clock.now();
		if (now - this.#lastLostAt > incidentMs) {
			this.#lostInRow++;
			this.#lastLostAt = now;
			this.onDoubt();
		}
	}

	/** Takes the target out for a while; calls to it that may be repeated are given up. */
	suspect(reason: string): void {
		this.#lostInRow = 0;
		this.#failedInRow = 0;
		this.#ejectedUntil = this.parts.clock.now() + Math.min(maxEjectionMs, minEjectionMs * (2 ** this.#ejections));
		this.#ejections++;
		this.send('SUSPECT', reason);
	}

	send(event: TargetEvent, detail: string): void {
		const next = nextTargetState(this.#state, event);
		if (next === this.#state) {
			return;
		}

		this.#state = next;
		this.parts.events.record({kind: next === 'draining' ? 'target_draining' : 'target_state', target: this.name, detail: next === 'draining' ? detail : `${next}: ${detail}`});
		if (next === 'suspect' || next === 'gone') {
			const old = this.#suspected;
			this.#suspected = createSignal();
			old.abort();
		}

		this.parts.onState();
	}
}

/** Every call in flight listens, so the usual limit of 10 listeners does not apply. */
function createSignal(): AbortController {
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	return controller;
}
