import type {Clock, Ms} from '../clock/index.js';
import {
	passOn, type Link, type LinkMessage, type RelayMesh,
} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import type {RelayTarget, TargetEntry} from './relay-target.js';
import type {TargetRegistry} from './target-registry.js';

/** Time for which a report is remembered; a target exits well before. */
const memoryMs: Ms = 600_000;
/** Maximum number of reports that are remembered; the oldest are dropped first. */
const maxReports = 1000;

/** Link message about a target that is draining. */
export type DrainingMessage = LinkMessage & {type: 'target-draining'};

/** Operations of the mesh that the reports use. */
export type DrainingMesh = Pick<RelayMesh, 'leader' | 'isInCell' | 'broadcast' | 'broadcastToLeaders'>;

/** Dependencies of {@link DrainingReports}. */
export interface DrainingReportsOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly mesh: () => DrainingMesh | undefined;
	readonly registry: Pick<TargetRegistry, 'get' | 'markDraining'>;
}

/** One start of a target, as entry VMs name it to each other. */
type TargetStart = {readonly target: string; readonly startedMs: number | null};

/**
 * Targets that have said in a response that they are draining, which may be before their entry says so. The fleet is told
 * over the links. A report concerns one start of a target; it is remembered, so that an entry VM that learns of the target
 * later does not use it.
 *
 * @example
 * reports.observe(target);
 */
export class DrainingReports {
	static create(options: DrainingReportsOptions): DrainingReports {
		return new DrainingReports(options);
	}

	/** Reports with the times at which they expire, oldest first. */
	readonly #reports = new Map<string, TargetStart & {readonly expiresMs: Ms}>();

	private constructor(private readonly options: DrainingReportsOptions) {}

	/** Handles a response in which a target says that it is draining. */
	observe(target: RelayTarget): void {
		this.#apply({target: target.id, startedMs: target.entry.startedMs ?? null}, undefined);
	}

	/** Handles a report of a peer. */
	receive(link: Link, {target, startedMs}: DrainingMessage): void {
		this.#apply({target, startedMs}, link);
	}

	/** Tells a peer that has just been linked of all reports. */
	linkUp(link: Link): void {
		this.#expire();
		for (const {target, startedMs} of this.#reports.values()) {
			link.send({type: 'target-draining', target, startedMs});
		}
	}

	/** Whether the target that an entry describes has said that it is draining. */
	has({id, startedMs}: Pick<TargetEntry, 'id' | 'startedMs'>): boolean {
		this.#expire();
		return this.#reports.has(keyOf({target: id, startedMs: startedMs ?? null}));
	}

	#apply(start: TargetStart, from: Link | undefined): void {
		this.#expire();
		const key = keyOf(start);
		if (this.#reports.has(key)) {
			return;
		}

		const {clock, logger, mesh, registry} = this.options;
		this.#reports.set(key, {...start, expiresMs: clock.now() + memoryMs});
		logger.info('A target says in its responses that it is draining.', {target: start.target, started_ms: start.startedMs, source: from?.peer.name ?? 'self'});
		const target = registry.get(start.target);
		if (target && (target.entry.startedMs ?? null) === start.startedMs) {
			registry.markDraining(start.target);
		}

		const links = mesh();
		if (links) {
			passOn(links, {type: 'target-draining', ...start}, from);
		}
	}

	#expire(): void {
		const now = this.options.clock.now();
		for (const [key, {expiresMs}] of this.#reports) {
			if (expiresMs > now && this.#reports.size <= maxReports) {
				break;
			}

			this.#reports.delete(key);
		}
	}
}

function keyOf({target, startedMs}: TargetStart): string {
	return `${target} ${startedMs ?? ''}`;
}
