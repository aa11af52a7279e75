import type {Ms} from '../clock/index.js';
import type {
	BrittleSlot, BrittleTargets, ColdTargets, Reservation, TargetHolds, TargetLimits,
} from '../limits/index.js';
import type {AllowedRegions, Placement} from '../placement/index.js';
import type {StageResult} from '../pools/index.js';
import type {PromptLoads} from '../prompts/index.js';
import type {RelayTarget} from '../registry/index.js';
import {chooseEngine, type EngineChoice} from './choose-engine.js';
import {chooseTarget} from './choose-target.js';
import {preferWarm} from './prefer-warm.js';
import type {RelayContext} from './relay-context.js';
import type {Prompt} from './relay-codec.js';
import type {Rejection} from './rejection.js';

/** Maximum number of targets that are asked for a place within their limits before the request waits for one. */
const maxLimitedTargets = 4;
/** Delay after which a caller may ask again while no target is left at all. */
const noTargetRetryAfterMs: Ms = 300;
/** The same while no target is left in allowed regions and zones: a new target or the end of an evacuation is read within about this time. */
const noAllowedTargetRetryAfterMs: Ms = 1000;

/** Time between two checks for an engine that has room, while a prompt waits for one. */
const roomCheckMs: Ms = 25;

/** Services of the process that the choice of a target depends on. */
export type TargetPickerContext = {
	readonly limits: Pick<TargetLimits, 'reserve'>;
	readonly brittle: Pick<BrittleTargets, 'isBrittle' | 'isDenied' | 'reserve'>;
	readonly holds: Pick<TargetHolds, 'hasAny' | 'isHeld' | 'free' | 'returnMs'>;
	readonly coldTargets: Pick<ColdTargets, 'isCold' | 'isDenied' | 'deniedUntilMs' | 'reserve'>;
	readonly prompts: Pick<PromptLoads, 'isActive' | 'outlook' | 'side' | 'hasRoom' | 'fits'>;
	readonly placement: Pick<Placement, 'candidates' | 'countExclusions' | 'exclusionOf' | 'lacksAllowed'>;
} & Pick<RelayContext, 'clock' | 'distance' | 'logger' | 'prefixCache' | 'probe' | 'random' | 'rank' | 'servicePace'>;

/** The request that targets are picked for. */
export interface PickedRequest {
	readonly attemptId: string;
	readonly service: string;
	/** Regions in which the request may be served; `undefined` if in any. */
	readonly regions?: AllowedRegions;
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
	readonly #choices = new WeakMap<RelayTarget, EngineChoice>();
	/** Times until which the request may be sent to cold targets, with the permits that it has. */
	readonly #sendByMs = new Map<RelayTarget, Ms>();

	/**
	 * Targets that are reserved, with their slots if they are brittle. An aborted reservation may end after the next attempt
	 * has reserved the same target, so that a slot is released with the last of them.
	 */
	readonly #reserved = new Map<RelayTarget, {count: number; slot: BrittleSlot | undefined; isRejected: boolean}>();
	#isClosed = false;

	private constructor(private readonly context: TargetPickerContext, private readonly request: PickedRequest) {}

	/** Whether the request was sent to a target. */
	get hasTried(): boolean {
		return this.#tried.size > 0;
	}

	/** Returns the latest choice of an engine, with its reasons. */
	choiceOf(target: RelayTarget): EngineChoice | undefined {
		return this.#choices.get(target);
	}

	/** Leaves a target out from now on. */
	addTried(target: RelayTarget): void {
		this.#tried.add(target);
	}

	/** Takes a target in again, to which the request was not sent after all. */
	removeTried(target: RelayTarget): void {
		this.#tried.delete(target);
	}

	/** Whether the request may go to a target now. */
	isAllowed(target: RelayTarget): boolean {
		return this.context.placement.exclusionOf(target, this.request.regions) === undefined && !this.context.holds.isHeld(target);
	}

	/** Whether no target is left because of the regions that the request allows, or of evacuations. */
	get lacksAllowed(): boolean {
		const {service, regions} = this.request;
		return this.context.placement.lacksAllowed(service, regions, this.#tried);
	}

	/** Whether each target that may take the request, also one that was tried, has asked for no requests for a time. */
	get isHeldBack(): boolean {
		return this.#heldBackMs !== undefined;
	}

	/** Returns the rejection of the request while no target is left; `mayHaveRun` if a target may have run it. */
	rejectionWithoutTarget(mayHaveRun: boolean): Rejection {
		const status = mayHaveRun ? 502 : 503;
		if (!this.lacksAllowed) {
			const heldBackMs = this.#heldBackMs;
			return heldBackMs === undefined ? {status, reason: 'no_target', retryAfterMs: noTargetRetryAfterMs} : {status, reason: 'target_held_back', retryAfterMs: heldBackMs};
		}

		const {attemptId, service, regions} = this.request;
		this.context.logger.info('No target is left for a request in allowed regions and zones.', {
			id: attemptId, service, regions, tried: this.#tried.size, excluded: this.context.placement.countExclusions(service, regions),
		});
		return {status, reason: 'no_allowed_target', retryAfterMs: noAllowedTargetRetryAfterMs};
	}

	/**
	 * Returns the best target that was not tried, a cold one only if no warm one is left; with `isWithinLimits`, one that may
	 * have a place within the limit that it names, or a permit if it is cold, and with `isReachable`, one that was not unreachable or busy just now.
	 */
	choose({isWithinLimits = false, isReachable = false} = {}): RelayTarget | undefined {
		const {clock, random, prefixCache, distance, rank, prompts} = this.context;
		const {service, prompt, bodyBytes, stageResults} = this.request;
		const now = clock.now();
		const usable = this.#candidates.filter(target => this.#hasRoom(target) && (!isWithinLimits || (!target.isLimited(now) && !this.context.brittle.isDenied(target))) && (!isReachable || !target.isAvoided(now)));
		const targets = preferWarm(usable, {
			isCold: target => this.context.coldTargets.isCold(target), isDenied: target => isWithinLimits && this.context.coldTargets.isDenied(target), isCandidate: target => !this.#tried.has(target) && !target.isAvoided(now),
		});
		const options = {now, tried: this.#tried, distance};
		return prompt
			? chooseEngine(targets, {
				...options, prompt, bodyBytes, stageResults: stageResults(), prefixCache, rank, random, loads: prompts.isActive(service) ? prompts : undefined, onChoice: choice => {
					this.#choices.set(choice.engine, choice);
				},
			})
			: chooseTarget(targets, {...options, tieBreaker: random.float()});
	}

	/** Whether `choose` would return a target, at a fraction of the cost. */
	hasChoice({isReachable = false} = {}): boolean {
		const now = this.context.clock.now();
		return this.#candidates.some(target => !this.#tried.has(target) && (!isReachable || !target.isAvoided(now)) && this.#hasRoom(target));
	}

	/** Resolves with a target that has a place for the request right now; with `isProbed`, one that responds to a probe. */
	async reservePlace({isProbed = false} = {}): Promise<RelayTarget | undefined> {
		for (let asked = 0; asked < maxLimitedTargets; asked++) {
			const target = this.choose({isWithinLimits: true, isReachable: isProbed});
			if (!target) {
				break;
			}

			// A permit holds for a shorter time than a probe may take.
			const isProbedFirst = isProbed && this.context.coldTargets.isCold(target);
			if (isProbedFirst && !(await this.#responds(target))) {
				continue;
			}

			if ('retryAfterMs' in await this.reserve(target, 0)) {
				continue;
			}

			if ((!isProbed || isProbedFirst || await this.#responds(target)) && this.mayBeSentTo(target)) {
				return target;
			}

			this.endAttempt(target, false);
		}

		return undefined;
	}

	/**
	 * Resolves with a place within the limit that a target names, and a permit if it is cold, or with the time until there is
	 * one. A place is followed by one call of `endAttempt`.
	 */
	async reserve(target: RelayTarget, maxWaitMs: Ms): Promise<Reservation> {
		const slot = this.context.brittle.isBrittle(target) && !this.#reserved.get(target)?.slot ? await this.context.brittle.reserve(target) : undefined;
		if (slot && 'retryAfterMs' in slot) {
			return slot;
		}

		this.#addReservation(target, slot);
		const reservation = await this.#reservePermits(target, maxWaitMs);
		if ('retryAfterMs' in reservation) {
			this.endAttempt(target, false);
		}

		return reservation;
	}

	/** Ends a reservation, after its attempt or without one; `isRejected` if the target had no place for the request. */
	endAttempt(target: RelayTarget, isRejected: boolean): void {
		const reserved = this.#reserved.get(target);
		if (!reserved) {
			return;
		}

		reserved.count--;
		reserved.isRejected ||= isRejected;
		if (reserved.count === 0) {
			this.#reserved.delete(target);
			reserved.slot?.release(reserved.isRejected);
		}
	}

	/** Gives back what was reserved for attempts that were not made. */
	close(): void {
		this.#isClosed = true;
		for (const {slot, isRejected} of this.#reserved.values()) {
			slot?.release(isRejected);
		}

		this.#reserved.clear();
	}

	#addReservation(target: RelayTarget, slot: BrittleSlot | undefined): void {
		const reserved = this.#reserved.get(target);
		// Another reservation of the target may have got a slot meanwhile.
		if (this.#isClosed || (slot && reserved?.slot)) {
			slot?.release(false);
		}

		if (this.#isClosed) {
			return;
		}

		if (reserved) {
			reserved.count++;
			reserved.slot ??= slot;
		} else {
			this.#reserved.set(target, {count: 1, slot, isRejected: false});
		}
	}

	async #reservePermits(target: RelayTarget, maxWaitMs: Ms): Promise<Reservation> {
		const place = await this.context.limits.reserve(target, maxWaitMs);
		if ('retryAfterMs' in place || !this.context.coldTargets.isCold(target)) {
			return place;
		}

		const permit = await this.context.coldTargets.reserve(target, maxWaitMs);
		if ('retryAfterMs' in permit) {
			return permit;
		}

		this.#sendByMs.set(target, permit.sendByMs);
		return {waitMs: Math.max(place.waitMs, permit.waitMs)};
	}

	/** Returns the rejection of a request that gets no place at any target, of which `target` is the first to have one. */
	rejectionWithoutPlace(target: RelayTarget, {mayHaveRun, retryAfterMs, remainingMs}: {mayHaveRun: boolean; retryAfterMs: Ms; remainingMs: Ms}): Rejection {
		const status = mayHaveRun ? 502 : 503;
		const {brittle, coldTargets, servicePace, clock} = this.context;
		// Callers of brittle targets return at the pace at which these answer.
		return brittle.isBrittle(target)
			? {status, reason: 'target_brittle', retryAfterMs: Math.max(retryAfterMs, servicePace.retryAfterMs(this.request.service, remainingMs, clock.now()))}
			: {status, reason: coldTargets.isCold(target) ? 'target_cold' : 'target_limited', retryAfterMs};
	}

	/** Returns the time by which the request must be sent to a target; `undefined` without a bound. */
	sendByMs(target: RelayTarget): Ms | undefined {
		return this.context.coldTargets.isCold(target) ? this.#sendByMs.get(target) : undefined;
	}

	/** Whether the request may be sent to a target now: it accepts requests, and is warm or the request has a permit. */
	mayBeSentTo(target: RelayTarget): boolean {
		return this.isUsable(target) && (!this.context.coldTargets.isCold(target) || this.context.clock.now() < (this.#sendByMs.get(target) ?? -Infinity));
	}

	/** Returns the target that was not tried and that is the first to have a place within its limit, or a permit. */
	firstFree(): RelayTarget | undefined {
		const {coldTargets} = this.context;
		const freeMs = (target: RelayTarget) => coldTargets.isCold(target) ? Math.max(target.limitedUntilMs, coldTargets.deniedUntilMs(target)) : target.limitedUntilMs;
		const [first] = this.#targetsWithRoom().filter(target => !this.#tried.has(target)).toSorted((a, b) => freeMs(a) - freeMs(b));
		return first;
	}

	/** Whether engines are left that were not tried, none of which has room in its memory for the prompt, as far as is known. */
	get lacksRoom(): boolean {
		const {prompt} = this.request;
		if (!prompt) {
			return false;
		}

		let hasUntried = false;
		for (const target of this.#candidates) {
			if (!this.#tried.has(target)) {
				if (this.#hasRoom(target)) {
					return false;
				}

				hasUntried = true;
			}
		}

		return hasUntried;
	}

	/** Resolves once an engine has room for the prompt, at `untilMs`, or at once if none can ever have it. */
	async waitForRoom(untilMs: Ms, signal: AbortSignal): Promise<void> {
		const {clock, prompts} = this.context;
		const {service, prompt} = this.request;
		if (!prompt || !prompts.fits(service, prompt)) {
			return;
		}

		while (this.lacksRoom && clock.now() < untilMs && !signal.aborted) {
			await clock.sleep(Math.min(roomCheckMs, untilMs - clock.now()), signal);
		}
	}

	/** Whether a target still accepts work and has room for the prompt. */
	isUsable(target: RelayTarget): boolean {
		return this.isAllowed(target) && this.#hasRoom(target);
	}

	#hasRoom(target: RelayTarget): boolean {
		const {prompt} = this.request;
		return !prompt || this.context.prompts.hasRoom(target, prompt);
	}

	/** Targets that may take the request now. */
	get #candidates(): readonly RelayTarget[] {
		const {service, regions} = this.request;
		return this.context.holds.free(this.context.placement.candidates(service, regions));
	}

	/** Time after which the request may return while all its targets are held back; else `undefined`. */
	get #heldBackMs(): Ms | undefined {
		const {service, regions} = this.request;
		return this.context.holds.hasAny ? this.context.holds.returnMs(this.context.placement.candidates(service, regions)) : undefined;
	}

	#targetsWithRoom(): readonly RelayTarget[] {
		return this.#candidates.filter(target => this.#hasRoom(target));
	}

	/** Probes a target; one that does not respond is avoided for a while. */
	async #responds(target: RelayTarget): Promise<boolean> {
		const {probe, clock, logger} = this.context;
		const result = await probe(target);
		if (result !== 'alive' && result !== 'withheld') {
			target.recordCall('unreachable', clock.now(), 0);
			logger.info('Left out a target for a retry: it does not respond to a probe.', {id: this.request.attemptId, target: target.id, probe: result});
		}

		return result === 'alive';
	}
}
