import type {Clock} from '../clock/index.js';
import type {EventInput, TimelineEvent} from './event.js';
import type {HybridClock} from './hybrid-clock.js';

/** Criteria for selecting events; an absent field matches every event. */
export interface EventFilter {
	readonly requestId?: string;
	readonly team?: string;
	readonly target?: string;
	/** Inclusive lower bound, in wall-clock ms. */
	readonly sinceMs?: number;
	/** Exclusive upper bound, in wall-clock ms. */
	readonly untilMs?: number;
}

/** Interface through which components record events. */
export interface EventRecorder {
	record(event: EventInput): void;
}

/**
 * Ring buffer of the latest events of a process.
 *
 * @example
 * const ring = EventRing.create({process: 'riga-1', clock, capacity: 20_000});
 * ring.record({kind: 'request_received', requestId: 'r1'});
 */
export class EventRing implements EventRecorder {
	/** Creates a ring buffer. With a hybrid clock, events are stamped with its time instead of wall-clock time. */
	static create(options: {process: string; clock: Clock; capacity?: number; hybridClock?: HybridClock}): EventRing {
		return new EventRing(options.process, options.clock, options.capacity ?? 20_000, options.hybridClock);
	}

	readonly #events: TimelineEvent[] = [];
	#nextIndex = 0;
	#sequence = 0;

	private constructor(private readonly process: string, private readonly clock: Clock, private readonly capacity: number, private readonly hybridClock: HybridClock | undefined) {}

	/** Number of events recorded since the start, including overwritten ones. */
	get recorded(): number {
		return this.#sequence;
	}

	record(input: EventInput): void {
		this.#sequence++;
		const {physicalMs, logical} = this.hybridClock?.tick() ?? {physicalMs: this.clock.wall(), logical: 0};
		// Copies named fields instead of using a spread: this is the most frequent call during a request.
		this.#events[this.#nextIndex] = {
			kind: input.kind,
			requestId: input.requestId,
			team: input.team,
			stage: input.stage,
			attempt: input.attempt,
			target: input.target,
			detail: input.detail,
			process: this.process,
			sequence: this.#sequence,
			wallMs: physicalMs,
			logical,
		};
		this.#nextIndex = (this.#nextIndex + 1) % this.capacity;
	}

	/** Returns the retained events that match, oldest first. */
	select(filter: EventFilter = {}): TimelineEvent[] {
		const ordered = [...this.#events.slice(this.#nextIndex), ...this.#events.slice(0, this.#nextIndex)];
		return ordered.filter(event => matches(event, filter));
	}
}

function matches(event: TimelineEvent, filter: EventFilter): boolean {
	return (filter.requestId === undefined || event.requestId === filter.requestId)
		&& (filter.team === undefined || event.team === filter.team)
		&& (filter.target === undefined || event.target === filter.target)
		&& (filter.sinceMs === undefined || event.wallMs >= filter.sinceMs)
		&& (filter.untilMs === undefined || event.wallMs < filter.untilMs);
}
