import type {Ms} from '../clock/index.js';
import type {ColdSource} from './judge-cold.js';

/** Prolongation from which a phase is news to others; what differs by less is the delay of messages. */
const minProlongedMs: Ms = 400;
/** Maximum number of phases that are kept; the oldest is dropped. */
const maxPhases = 2000;

/** Time in which a target is treated as cold. */
export interface ColdPhase {
	readonly target: string;
	/** What told of it first. */
	readonly source: ColdSource;
	readonly sinceMs: Ms;
	readonly untilMs: Ms;
	/** Time of the latest evidence. */
	readonly seenMs: Ms;
}

/** What an observation has changed. */
export type ColdChange = 'began' | 'prolonged' | 'none';

/**
 * Tells which targets are cold, from which source and until when. Phases are kept by the id of the target: another start
 * under the same id gets what was sent to the one before.
 *
 * @example
 * phases.observe('e-1', {source: 'health', untilMs: now + 2000, now}); // 'began'
 */
export class ColdPhases {
	static create(): ColdPhases {
		return new ColdPhases();
	}

	readonly #phases = new Map<string, ColdPhase>();

	private constructor() {}

	/** Records that a target is cold until a time. A phase is never shortened: no source tells reliably that it has ended early. */
	observe(target: string, {source, untilMs, now}: {source: ColdSource; untilMs: Ms; now: Ms}): ColdChange {
		const current = this.at(target, now);
		if (untilMs <= (current?.untilMs ?? now)) {
			return 'none';
		}

		this.#phases.set(target, {
			target, source: current?.source ?? source, sinceMs: current?.sinceMs ?? now, untilMs, seenMs: now,
		});
		if (this.#phases.size > maxPhases) {
			const [oldest] = this.#phases.keys();
			this.#phases.delete(oldest!);
		}

		if (!current) {
			return 'began';
		}

		return untilMs - current.untilMs >= minProlongedMs ? 'prolonged' : 'none';
	}

	/** Returns the phase of a target that is cold at a time. */
	at(target: string, now: Ms): ColdPhase | undefined {
		const phase = this.#phases.get(target);
		return phase && now < phase.untilMs ? phase : undefined;
	}

	/** Removes the phase of a target. */
	remove(target: string): void {
		this.#phases.delete(target);
	}

	/** Returns the phases that go on. */
	current(now: Ms): readonly ColdPhase[] {
		return [...this.#phases.values()].filter(({untilMs}) => now < untilMs);
	}

	/** Removes the phases that have ended, and returns them. */
	takeEnded(now: Ms): readonly ColdPhase[] {
		const ended = [...this.#phases.values()].filter(({untilMs}) => untilMs <= now);
		for (const {target} of ended) {
			this.#phases.delete(target);
		}

		return ended;
	}
}
