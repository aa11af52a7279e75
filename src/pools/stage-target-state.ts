import type {Ms} from '../clock/index.js';
import {RateSchedule} from '../limits/index.js';
import type {TargetLoad} from '../registry/index.js';
import {ReleaseTrust} from './release-trust.js';
import type {StageCallOutcome} from './stage-job.js';
import {ReportedLoad} from './reported-load.js';

/** A target of a stage pool. */
export interface StageTarget {
	readonly id: string;
	readonly address: string;
	readonly zone: string;
	/** Region of the zone, if known. */
	readonly region?: string | undefined;
}

/** Backoff after a target refused a call. */
const refusalBackoffMs: Ms = 150;
/** The same for a target that may refuse one call in a second without a crash; one that may refuse N gets a call after an Nth of it. */
const brittleRefusalMs: Ms = 2000;
/** Backoff after a target was unreachable or its call failed; doubles with each such call up to the maximum. */
const initialBackoffMs: Ms = 400;
const maxBackoffMs: Ms = 4000;
/** Upper bound of the memory share, the fraction of the declared result memory that calls may use. */
const maxMemoryShare = 0.95;
/** Upper bound of the memory share just after a change of hosts, while targets still hold results of the previous host. */
const takeoverMemoryShare = 0.5;
/** Lower bound of the memory share. */
const minMemoryShare = 0.15;
/** Factor applied to the memory share after a call that ran out of memory, and its growth per ms afterwards. */
const memoryShareCutFactor = 0.7;
const memoryShareGrowthPerMs = 0.000_15;
/** Number of releases after which the average hold time of results is relied on. */
const minReleases = 20;
/** Weight of the latest result in the moving average of the hold time. */
const holdTimeSmoothing = 0.05;
/** Half-life of a measured slowdown; it decays so that a target that gets no calls is tried again. */
const slowdownHalfLifeMs: Ms = 2000;
/** Weight of the latest call in the moving average of the slowdown; smaller for targets that report what slows them down for a moment. */
const slowdownSmoothing = 0.4;
const reportedSlowdownSmoothing = 0.15;

/**
 * Tracks the calls, result memory and speed of one target on behalf of its pool.
 *
 * @internal
 */
export class StageTargetState {
	/** The targets of a pool share what is learned of releases. */
	static create(target: StageTarget, releaseTrust = ReleaseTrust.create()): StageTargetState {
		return new StageTargetState(target, releaseTrust);
	}

	#slowdown = 1;
	#slowdownAtMs: Ms = 0;
	/** Fraction of the declared memory that calls may use: other hosts may use the target too, and result sizes are approximate. */
	#memoryShare = maxMemoryShare;
	#memoryShareAtMs: Ms = 0;
	readonly #calls = new Map<number, {memoryMb: number; endsMs: Ms; isCountingOnReleases: boolean; reportedSlowdown: number}>();
	readonly #results = new Map<string, {mb: number; createdMs: Ms; expiresMs: Ms}>();
	/** Moving average of the time between the creation of a result and its release. */
	#holdTimeMs: Ms = 0;
	#releaseCount = 0;
	readonly #reported = ReportedLoad.create();
	#backoffUntilMs: Ms = -Infinity;
	#backoffMs: Ms = initialBackoffMs;
	#heldUntilMs: Ms = -Infinity;
	/** Places for calls while the target names a limit. A pool has one host, so that no one else sends calls. */
	#schedule: RateSchedule | undefined;

	private constructor(readonly target: StageTarget, private readonly releaseTrust: ReleaseTrust) {}

	/** Returns the expected call time as a multiple of the usual one: the measured multiple, which decays towards 1 with age, times the one that the target has reported. */
	slowdown(now: Ms): number {
		return this.#measuredSlowdown(now) * this.#reported.slowdown(now);
	}

	#measuredSlowdown(now: Ms): number {
		return 1 + ((this.#slowdown - 1) * (0.5 ** ((now - this.#slowdownAtMs) / slowdownHalfLifeMs)));
	}

	/** Returns the expected time until calls of other hosts that wait at the target are done. */
	queueMs(callMs: Ms, now: Ms): Ms {
		return this.#reported.queueMs(callMs, now);
	}

	/** Measured slowdown without its decay and without what the target reports, by which targets are compared. */
	get lastSlowdown(): number {
		return this.#slowdown;
	}

	/** Records the load that a response reports. Returns the slowdown that the target has reported over a call, on average of its start and end. */
	updateLoad(callId: number, load: TargetLoad | undefined, now: Ms): number {
		const before = this.#calls.get(callId)?.reportedSlowdown ?? 1;
		this.#reported.update(load, now);
		return load?.slowdown === undefined ? 1 : (before + this.#reported.slowdown(now)) / 2;
	}

	/** Number of calls in progress. */
	get callCount(): number {
		return this.#calls.size;
	}

	/** Whether calls may be sent to the target, that is, whether it is not in backoff or held back and its limit has a place. */
	isUsable(now: Ms): boolean {
		return this.usableAt(now) <= now;
	}

	/** Returns the earliest time at which the target is usable. */
	usableAt(now: Ms): Ms {
		return Math.max(now, this.#backoffUntilMs, this.#heldUntilMs, this.#schedule?.freeAt(now) ?? now);
	}

	/** Makes the target unusable until `untilMs`. */
	holdBack(untilMs: Ms): void {
		this.#heldUntilMs = untilMs;
	}

	/** Returns the time by which the calls in progress are expected to end. */
	idleAt(now: Ms): Ms {
		return Math.max(now, ...[...this.#calls.values()].map(call => call.endsMs));
	}

	/** Returns the result memory expected to be free for a call that takes `callMs`. */
	freeMemoryMb(memoryMb: number, callMs: Ms, now: Ms): number {
		return this.usableMemoryMb(memoryMb, now) - this.#usedMemoryMb(1 - this.releaseTrust.fraction, callMs, now);
	}

	/** Returns the memory in use; results that are likely to be released within `callMs` count by a fraction. */
	#usedMemoryMb(releasedFraction: number, callMs: Ms, now: Ms): number {
		let used = 0;
		for (const call of this.#calls.values()) {
			used += call.memoryMb;
		}

		for (const [handle, result] of this.#results) {
			if (result.expiresMs <= now) {
				this.#results.delete(handle);
			} else {
				used += result.mb * (this.#isReleasedWithin(result.createdMs, callMs, now) ? releasedFraction : 1);
			}
		}

		return used;
	}

	/** Returns the part of the declared memory that calls may use. */
	usableMemoryMb(memoryMb: number, now: Ms): number {
		return memoryMb * this.#memoryShareAt(now);
	}

	/** Whether a result is likely to be released during a call. One already held longer than average does not count, since it may be held for much longer. */
	#isReleasedWithin(createdMs: Ms, callMs: Ms, now: Ms): boolean {
		const releasedMs = createdMs + this.#holdTimeMs;
		return this.#releaseCount >= minReleases && releasedMs >= now && releasedMs <= now + callMs;
	}

	/** Whether the target holds no results and has no call in progress. */
	get isEmpty(): boolean {
		return this.#calls.size === 0 && this.#results.size === 0;
	}

	/** Records whether there was memory for all results of a call that is about to end. Without it, the next calls count less on releases or, if the call did not count on any, use less memory. */
	recordMemory(callId: number, hadRoom: boolean, now: Ms): void {
		if (this.#calls.get(callId)?.isCountingOnReleases) {
			this.releaseTrust.record(hadRoom);
		} else if (!hadRoom) {
			this.#reduceMemoryShare(now);
		}
	}

	#reduceMemoryShare(now: Ms): void {
		this.#memoryShare = Math.max(minMemoryShare, this.#memoryShareAt(now) * memoryShareCutFactor);
		this.#memoryShareAtMs = now;
	}

	/** Reduces the usable memory for a while, since the target may still hold results of another host. */
	expectForeignResults(now: Ms): void {
		this.#memoryShare = Math.min(this.#memoryShareAt(now), takeoverMemoryShare);
		this.#memoryShareAtMs = now;
	}

	/** Usable fraction of the memory, which recovers over time. */
	#memoryShareAt(now: Ms): number {
		return Math.min(maxMemoryShare, this.#memoryShare + ((now - this.#memoryShareAtMs) * memoryShareGrowthPerMs));
	}

	/** Records the start of a call, which takes memory until it ends, and a place within the limit. `memoryLimitMb` is the declared memory. */
	startCall(callId: number, call: {memoryMb: number; memoryLimitMb: number; endsMs: Ms}, now: Ms): void {
		const {memoryMb, memoryLimitMb, endsMs} = call;
		this.#calls.set(callId, {
			memoryMb, endsMs, reportedSlowdown: this.#reported.slowdown(now), isCountingOnReleases: this.#usedMemoryMb(1, 0, now) + memoryMb > this.usableMemoryMb(memoryLimitMb, now),
		});
		this.#schedule?.reserve(now, 0);
	}

	/** Applies the limit that a response names, in calls per second; `undefined` ends it, and what is no limit is ignored. */
	setLimit(perSecond: number | undefined, now: Ms): void {
		if (perSecond === undefined) {
			this.#schedule = undefined;
		} else if (perSecond >= 0) {
			this.#schedule ??= RateSchedule.create(perSecond, now);
			this.#schedule.setRate(perSecond);
		}
	}

	/** Records the end of a call: a successful one updates the slowdown, any other starts a backoff. */
	endCall(callId: number, call: {end: StageCallOutcome['kind']; tookMs: Ms; expectedMs: Ms; brittlePerSecond?: number | undefined}, now: Ms): void {
		this.#calls.delete(callId);
		if (call.end === 'done') {
			this.#backoffMs = initialBackoffMs;
			const before = this.#measuredSlowdown(now);
			// Without declared times, a call says nothing of the speed.
			const measured = call.expectedMs > 0 ? call.tookMs / call.expectedMs : 1;
			this.#slowdown = before + ((this.#reported.reportsSlowdown ? reportedSlowdownSmoothing : slowdownSmoothing) * (Math.max(0.5, measured) - before));
			this.#slowdownAtMs = now;
		} else if (call.end === 'refused') {
			this.#backoffUntilMs = now + Math.max(refusalBackoffMs, call.brittlePerSecond !== undefined && call.brittlePerSecond >= 0 ? Math.min(maxBackoffMs, brittleRefusalMs / call.brittlePerSecond) : 0);
		} else {
			this.#backoffUntilMs = now + this.#backoffMs;
			this.#backoffMs = Math.min(maxBackoffMs, this.#backoffMs * 2);
		}
	}

	/** Adds a result, which takes memory until it is released or expires. */
	addResult(handle: string, bytes: number, {now, expiresMs}: {now: Ms; expiresMs: Ms}): void {
		this.#results.set(handle, {mb: bytes / 1e6, createdMs: now, expiresMs});
	}

	/** Removes a released result; returns whether this target held it. */
	removeResult(handle: string, now: Ms): boolean {
		const result = this.#results.get(handle);
		if (!result) {
			return false;
		}

		this.#results.delete(handle);
		const heldMs = now - result.createdMs;
		this.#holdTimeMs += (this.#releaseCount === 0 ? 1 : holdTimeSmoothing) * (heldMs - this.#holdTimeMs);
		this.#releaseCount++;
		return true;
	}
}
