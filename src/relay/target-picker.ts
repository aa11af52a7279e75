import type {TargetLimits} from '../limits/index.js';
import type {StageResult} from '../pools/index.js';
import type {RelayTarget} from '../registry/index.js';
import {chooseEngine} from './choose-engine.js';
import {chooseTarget} from './choose-target.js';
import type {RelayContext} from './relay-context.js';
import type {Prompt} from './relay-codec.js';

/** Maximum number of targets that are asked for a place within their limits before the request waits for one. */
const maxLimitedTargets = 4;

/** Services of the process that the choice of a target depends on. */
export type TargetPickerContext = {readonly limits: Pick<TargetLimits, 'reserve'>} & Pick<RelayContext, 'clock' | 'distance' | 'logger' | 'prefixCache' | 'probe' | 'random' | 'rank' | 'registry'>;

/** The request that targets are picked for. */
export interface PickedRequest {
	readonly attemptId: string;
	readonly service: string;
	/** Prompt of a request for a model engine. */
	readonly prompt: Prompt | undefined;
	readonly bodyBytes: number;
	/** Returns the stage results that the targets keep for the request. */
	readonly stageResults: () => readonly StageResult[];
}

/**
 * Picks targets for the attempts of one request, each target once.
 *
 * @example
 * const target = await picker.reservePlace();
 */
export class TargetPicker {
	static create(context: TargetPickerContext, request: PickedRequest): TargetPicker {
		return new TargetPicker(context, request);
	}

	readonly #tried = new Set<RelayTarget>();

	private constructor(private readonly context: TargetPickerContext, private readonly request: PickedRequest) {}

	/** Whether the request was sent to a target. */
	get hasTried(): boolean {
		return this.#tried.size > 0;
	}

	/** Leaves a target out from now on. */
	addTried(target: RelayTarget): void {
		this.#tried.add(target);
	}

	/** Takes a target in again, to which the request was not sent after all. */
	removeTried(target: RelayTarget): void {
		this.#tried.delete(target);
	}

	/**
	 * Returns the best target that was not tried; with `isWithinLimits`, one that may have a place within the limit that it
	 * names, and with `isReachable`, one that was not unreachable or busy just now.
	 */
	choose({isWithinLimits = false, isReachable = false} = {}): RelayTarget | undefined {
		const {registry, clock, random, prefixCache, distance, rank} = this.context;
		const {service, prompt, bodyBytes, stageResults} = this.request;
		const now = clock.now();
		const targets = registry.acceptingTargets(service).filter(target => (!isWithinLimits || !target.isLimited(now)) && (!isReachable || !target.isAvoided(now)));
		const options = {now, tried: this.#tried, distance};
		return prompt
			? chooseEngine(targets, {
				...options, prompt, bodyBytes, stageResults: stageResults(), prefixCache, rank,
			})
			: chooseTarget(targets, {...options, tieBreaker: random.float()});
	}

	/** Resolves with a target that has a place for the request right now; with `isProbed`, one that responds to a probe. */
	async reservePlace({isProbed = false} = {}): Promise<RelayTarget | undefined> {
		for (let asked = 0; asked < maxLimitedTargets; asked++) {
			const target = this.choose({isWithinLimits: true, isReachable: isProbed});
			if (!target) {
				break;
			}

			if ('waitMs' in await this.context.limits.reserve(target, 0) && (!isProbed || await this.#responds(target)) && target.isAccepting) {
				return target;
			}
		}

		return undefined;
	}

	/** Returns the target that was not tried and whose limit is the first to have a place. */
	firstFree(): RelayTarget | undefined {
		const [first] = this.context.registry.acceptingTargets(this.request.service).filter(target => !this.#tried.has(target)).toSorted((a, b) => a.limitedUntilMs - b.limitedUntilMs);
		return first;
	}

	/** Probes a target; one that does not respond is avoided for a while. */
	async #responds(target: RelayTarget): Promise<boolean> {
		const {probe, clock, logger} = this.context;
		const result = await probe(target);
		if (result !== 'alive') {
			target.recordCall('unreachable', clock.now(), 0);
			logger.info('Left out a target for a retry: it does not respond to a probe.', {id: this.request.attemptId, target: target.id, probe: result});
		}

		return result === 'alive';
	}
}
