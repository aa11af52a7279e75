import {setMaxListeners} from 'node:events';
import type {Clock, Ms} from '../clock/index.js';
import type {Pool, TargetDeclaration} from '../config/index.js';
import type {EventRecorder} from '../events/index.js';
import type {EnginePort, TargetHealth, TargetLoad} from './engine-port.js';
import type {ServicePort} from './service-port.js';
import {nextTargetState, type TargetEvent} from './target-lifecycle.js';
import type {Target, TargetState} from './target.js';

/** Incidents of lost calls without a successful call in between, after which a target is suspect even if it answers probes. */
const maxConsecutiveLossIncidents = 4;
/** Calls lost within this time of the start of an incident belong to it, because connections tend to fail together. */
const lossIncidentWindowMs: Ms = 1000;
/** Consecutive failed calls after which a target is suspect. */
const maxConsecutiveFailures = 3;
/** Time for which a suspect target is ejected; doubled for each consecutive ejection, up to `maxEjectionMs`. */
const minEjectionMs: Ms = 1000;
const maxEjectionMs: Ms = 8000;

/** A declared target and its current state. @internal */
export class DeclaredTarget implements Target {
	engine: EnginePort | undefined;
	service: ServicePort | undefined;
	startId: string | undefined;
	inFlight = 0;
	load: TargetLoad | undefined;
	#state: TargetState = 'unknown';
	/** Requests an immediate probe; set by the prober. */
	requestProbe: () => void = () => undefined;
	#consecutiveLossIncidents = 0;
	#lastLossIncidentMs: Ms = Number.NEGATIVE_INFINITY;
	#consecutiveFailures = 0;
	#consecutiveEjections = 0;
	#ejectedUntilMs: Ms = 0;
	#suspectController = createSuspectController();

	constructor(
		readonly declaration: TargetDeclaration,
		readonly pool: Pool,
		readonly region: string,
		private readonly dependencies: {clock: Clock; events: EventRecorder; onStateChange: () => void},
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

	get suspectSignal(): AbortSignal {
		return this.#suspectController.signal;
	}

	/** Applies the health reported by a reply or a probe. */
	updateHealth(health: TargetHealth): void {
		if (this.startId !== undefined && this.startId !== health.startId) {
			// A new start id means that the target restarted, so the failure history and load of the old process no longer apply.
			this.#consecutiveLossIncidents = 0;
			this.#consecutiveFailures = 0;
			this.#consecutiveEjections = 0;
			this.load = undefined;
			this.startId = health.startId;
			this.applyEvent('RESTARTED', `restarted as ${health.startId}`);
		}

		this.startId = health.startId;
		if (health.draining) {
			this.applyEvent('DRAIN', `${health.startId} by the target`);
		} else if (this.dependencies.clock.now() >= this.#ejectedUntilMs) {
			this.applyEvent('REPLY', 'reply received');
		}
	}

	/** Marks the target as draining, unless `startId` is known to differ from its current start id. */
	markDraining(startId: string, source: string): void {
		if (this.startId === undefined || this.startId === startId) {
			this.startId = startId;
			this.applyEvent('DRAIN', `${startId} by ${source}`);
		}
	}

	/** Records the end of a call and ejects the target after too many lost or failed calls. */
	callEnded(result: 'ok' | 'failed' | 'lost' | 'cancelled'): void {
		this.inFlight--;
		if (this.#state === 'suspect') {
			// Calls may have ended because the target became suspect, so their results are not counted.
			return;
		}

		if (result === 'ok') {
			this.#consecutiveLossIncidents = 0;
			this.#consecutiveFailures = 0;
			this.#consecutiveEjections = 0;
		}

		this.#consecutiveFailures += result === 'failed' ? 1 : 0;
		if (result === 'lost') {
			this.#recordLostCall();
		}

		if (this.#consecutiveLossIncidents >= maxConsecutiveLossIncidents || this.#consecutiveFailures >= maxConsecutiveFailures) {
			this.markSuspect(`${this.#consecutiveLossIncidents} lost and ${this.#consecutiveFailures} failed calls in a row`);
		}
	}

	/** A lost call may be due to its connection, so a probe on a new connection checks the target. */
	#recordLostCall(): void {
		const now = this.dependencies.clock.now();
		if (now - this.#lastLossIncidentMs > lossIncidentWindowMs) {
			this.#consecutiveLossIncidents++;
			this.#lastLossIncidentMs = now;
			this.requestProbe();
		}
	}

	/** Ejects the target for a limited time and cancels the calls in flight that are safe to repeat. */
	markSuspect(reason: string): void {
		this.#consecutiveLossIncidents = 0;
		this.#consecutiveFailures = 0;
		this.#ejectedUntilMs = this.dependencies.clock.now() + Math.min(maxEjectionMs, minEjectionMs * (2 ** this.#consecutiveEjections));
		this.#consecutiveEjections++;
		this.applyEvent('SUSPECT', reason);
	}

	/** Applies a lifecycle event; on a state change, records it and notifies the listeners. */
	applyEvent(event: TargetEvent, detail: string): void {
		const next = nextTargetState(this.#state, event);
		if (next === this.#state) {
			return;
		}

		this.#state = next;
		this.dependencies.events.record({kind: next === 'draining' ? 'target_draining' : 'target_state', target: this.name, detail: next === 'draining' ? detail : `${next}: ${detail}`});
		if (next === 'suspect' || next === 'gone') {
			const previous = this.#suspectController;
			this.#suspectController = createSuspectController();
			previous.abort();
		}

		this.dependencies.onStateChange();
	}
}

/** Every call in flight adds a listener, so Node's warning at more than 10 listeners is disabled. */
function createSuspectController(): AbortController {
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	return controller;
}
