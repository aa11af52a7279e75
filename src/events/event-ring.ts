import type {Clock} from '../clock/index.js';
import type {EventInput, TimelineEvent} from './event.js';

/** Which events to return; an absent field matches every event. */
export interface EventFilter {
	readonly requestId?: string;
	readonly team?: string;
	readonly target?: string;
	/** Wall-clock ms, included. */
	readonly sinceMs?: number;
	/** Wall-clock ms, excluded. */
	readonly untilMs?: number;
}

/** Port through which parts report events. */
export interface EventRecorder {
	record(event: EventInput): void;
}

/**
 * Bounded ring of a process's latest events.
 *
 * @example
 * const ring = EventRing.create({process: 'riga-1', clock, capacity: 20_000});
 * ring.record({kind: 'request_received', requestId: 'r1'});
 */
export class EventRing implements EventRecorder {
	static create(options: {process: string; clock: Clock; capacity?: number}): EventRing {
		return new EventRing(options.process, options.clock, options.capacity ?? 20_000);
	}

	readonly #events: TimelineEvent[] = [];
	#next = 0;
	#sequence = 0;

	private constructor(private readonly process: string, private readonly clock: Clock, private readonly capacity: number) {}

	/** Number of events recorded since the start, dropped ones included. */
	get recorded(): number {
		return this.#sequence;
	}

	record(input: EventInput): void {
		this.#sequence++;
		// Named fields instead of a spread: this is the most frequent call of a request.
		this.#events[this.#next] = {
			kind: input.kind,
			requestId: input.requestId,
			team: input.team,
			stage: input.stage,
			attempt: input.attempt,
			target: input.target,
			detail: input.detail,
			process: this.process,
			sequence: this.#sequence,
			wallMs: this.clock.wall(),
			logical: 0,
		};
		this.#next = (this.#next + 1) % this.capacity;
	}

	/** Returns the held events that match, oldest first. */
	select(filter: EventFilter = {}): TimelineEvent[] {
		const ordered = [...this.#events.slice(this.#next), ...this.#events.slice(0, this.#next)];
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
