import type {Clock, Ms} from '../clock/index.js';
import type {EventInput, EventRecorder} from '../events/index.js';

/** What happened to the stages of all requests. @internal */
export type StageTimes = {
	reached: number;
	done: number;
	attempts: number;
	readonly waits: Ms[];
	readonly services: Ms[];
};

type OpenAttempt = {queuedAt: Ms; sentAt: Ms};

/** Collects stage times and admissions from the events of a replay. @internal */
export class StageRecorder implements EventRecorder {
	readonly stages = new Map<string, StageTimes>();
	readonly admitted = new Set<string>();
	/** Events of one request, for a look at its course. */
	readonly traced: Array<EventInput & {at: Ms}> = [];
	readonly #open = new Map<string, OpenAttempt>();

	constructor(private readonly clock: Clock, private readonly tracedRequest: string | undefined) {}

	record(event: EventInput): void {
		const at = this.clock.now();
		if (event.requestId !== undefined && event.requestId === this.tracedRequest) {
			this.traced.push({...event, at});
		}

		if (event.kind === 'request_admitted') {
			this.admitted.add(event.requestId!);
		} else if (event.stage !== undefined) {
			this.#recordAttempt(event, event.stage, at);
		}
	}

	/** Called when a target starts on the present attempt of a stage: the wait at entry VM and target together ends. */
	started(requestId: string, stage: string): void {
		const open = this.#open.get(`${requestId} ${stage}`);
		if (open) {
			this.#stage(stage).waits.push(this.clock.now() - open.queuedAt);
		}
	}

	#recordAttempt(event: EventInput, stage: string, at: Ms): void {
		const id = `${event.requestId} ${stage}`;
		const times = this.#stage(stage);
		const open = this.#open.get(id);
		if (event.kind === 'attempt_queued') {
			times.reached += event.attempt === 1 ? 1 : 0;
			this.#open.set(id, {queuedAt: at, sentAt: at});
		} else if (event.kind === 'attempt_sent' && open) {
			times.attempts++;
			open.sentAt = at;
		} else if (event.kind === 'attempt_settled' && open && event.detail === 'ok') {
			times.done++;
			times.services.push(at - open.sentAt);
			this.#open.delete(id);
		}
	}

	#stage(name: string): StageTimes {
		let times = this.stages.get(name);
		if (!times) {
			times = {
				reached: 0, done: 0, attempts: 0, waits: [], services: [],
			};
			this.stages.set(name, times);
		}

		return times;
	}
}
