import type {Clock, Ms} from '../clock/index.js';
import type {EventInput, EventRecorder} from '../events/index.js';

/** Counts and times of one stage over all requests. @internal */
export type StageSamples = {
	reached: number;
	completed: number;
	attempts: number;
	readonly waitsMs: Ms[];
	readonly serviceTimesMs: Ms[];
};

type OpenAttempt = {queuedAt: Ms; sentAt: Ms};

/** Collects stage times and admitted requests from the events of a replay. @internal */
export class StageRecorder implements EventRecorder {
	readonly stages = new Map<string, StageSamples>();
	readonly admitted = new Set<string>();
	/** Events of the traced request, with their virtual time. */
	readonly tracedEvents: Array<EventInput & {at: Ms}> = [];
	readonly #openAttempts = new Map<string, OpenAttempt>();

	constructor(private readonly clock: Clock, private readonly tracedRequestId: string | undefined) {}

	record(event: EventInput): void {
		const at = this.clock.now();
		if (event.requestId !== undefined && event.requestId === this.tracedRequestId) {
			this.tracedEvents.push({...event, at});
		}

		if (event.kind === 'request_admitted') {
			this.admitted.add(event.requestId!);
		} else if (event.stage !== undefined) {
			this.#recordAttempt(event, event.stage, at);
		}
	}

	/** Records that a target started the current attempt of a stage, which ends its wait at the entry VM and the target. */
	recordStart(requestId: string, stage: string): void {
		const open = this.#openAttempts.get(`${requestId} ${stage}`);
		if (open) {
			this.#stage(stage).waitsMs.push(this.clock.now() - open.queuedAt);
		}
	}

	#recordAttempt(event: EventInput, stage: string, at: Ms): void {
		const id = `${event.requestId} ${stage}`;
		const times = this.#stage(stage);
		const open = this.#openAttempts.get(id);
		if (event.kind === 'attempt_queued') {
			times.reached += event.attempt === 1 ? 1 : 0;
			this.#openAttempts.set(id, {queuedAt: at, sentAt: at});
		} else if (event.kind === 'attempt_sent' && open) {
			times.attempts++;
			open.sentAt = at;
		} else if (event.kind === 'attempt_settled' && open && event.detail === 'ok') {
			times.completed++;
			times.serviceTimesMs.push(at - open.sentAt);
			this.#openAttempts.delete(id);
		}
	}

	#stage(name: string): StageSamples {
		let times = this.stages.get(name);
		if (!times) {
			times = {
				reached: 0, completed: 0, attempts: 0, waitsMs: [], serviceTimesMs: [],
			};
			this.stages.set(name, times);
		}

		return times;
	}
}
