import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logging/index.js';
import type {RelayTarget} from '../registry/index.js';
import type {ProbeResult} from './target-attempt.js';

/** Maximum number of attempts that are named in the log line of a crash. */
const maxLoggedAttempts = 8;

/** How far the response to an attempt had got: nothing that tells of its work, the headers of a stream, or events of one. */
export type BrokenProgress = 'waiting' | 'begun' | 'streaming';

/** An attempt that was cut off, or given up, before its target had sent a whole response. */
export interface BrokenAttempt {
	readonly attemptId: string;
	/** Ids of the prompt parts that other requests may share, and the id of the request. */
	readonly parts: readonly string[];
	readonly progress: BrokenProgress;
	readonly sentMs: Ms;
	readonly brokenMs: Ms;
	/** Latest time before the request was sent at which the target is known to have been running. */
	readonly aliveMs?: Ms | undefined;
}

/** A crash of a target, as seen by one entry VM. */
export interface TargetCrash<Attempt extends BrokenAttempt = BrokenAttempt> {
	readonly target: RelayTarget;
	readonly attempts: readonly Attempt[];
}

/** Dependencies of {@link CrashWatch}. */
export interface CrashWatchOptions<Attempt extends BrokenAttempt = BrokenAttempt> {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly probe: (target: RelayTarget) => Promise<ProbeResult>;
	/** Called for each crash that cut off attempts from this entry VM; again if further attempts turn out to be cut off by it. */
	readonly onCrash: (crash: TargetCrash<Attempt>) => void;
}

/**
 * Tells attempts that ended with their target from those that only lost a connection: a target that refuses a new
 * connection has crashed. Targets that are draining end on purpose and are not watched.
 *
 * @example
 * watch.attemptBroken(target, {attemptId, parts, progress: 'begun', sentMs, brokenMs: clock.now()});
 */
export class CrashWatch<Attempt extends BrokenAttempt = BrokenAttempt> {
	static create<Attempt extends BrokenAttempt = BrokenAttempt>(options: CrashWatchOptions<Attempt>): CrashWatch<Attempt> {
		return new CrashWatch(options);
	}

	/** Attempts whose targets are being probed. */
	readonly #pending = new Map<RelayTarget, Attempt[]>();

	private constructor(private readonly options: CrashWatchOptions<Attempt>) {}

	/** Handles an attempt that was cut off or given up before a whole response had arrived. */
	attemptBroken(target: RelayTarget, attempt: Attempt): void {
		if (target.isDraining) {
			return;
		}

		const pending = this.#pending.get(target);
		if (pending) {
			pending.push(attempt);
			return;
		}

		this.#pending.set(target, [attempt]);
		void this.#check(target);
	}

	async #check(target: RelayTarget): Promise<void> {
		const {logger, probe} = this.options;
		try {
			const firstResult = await probe(target);
			// The end of the target cuts off a probe that has just connected; the next one is refused.
			const result = firstResult === 'silent' ? await probe(target) : firstResult;
			this.#judge(target, this.#takePending(target), result);
		} catch (err) {
			logger.error('Cannot tell whether a target has ended.', {target: target.id, attempts: this.#takePending(target).length, error: errorMessage(err)});
		}
	}

	/** Takes the attempts of a target, so that the next one is probed anew. */
	#takePending(target: RelayTarget): readonly Attempt[] {
		const attempts = this.#pending.get(target) ?? [];
		this.#pending.delete(target);
		return attempts;
	}

	#judge(target: RelayTarget, attempts: readonly Attempt[], result: ProbeResult): void {
		const {clock, logger, onCrash} = this.options;
		const fields = {
			target: target.id,
			service: target.entry.service,
			probe: result,
			attempts: attempts.length,
			begun: attempts.filter(({progress}) => progress === 'begun').length,
			streaming: attempts.filter(({progress}) => progress === 'streaming').length,
			first: attempts.slice(0, maxLoggedAttempts).map(({attemptId, progress, parts, sentMs, brokenMs}) => ({
				id: attemptId, progress, parts, took_ms: Math.round(brokenMs - sentMs),
			})),
			age_ms: Math.round(clock.now() - attempts[0]!.brokenMs),
		};
		if (result === 'gone') {
			logger.warn('A target ended while requests waited for it.', fields);
			onCrash({target, attempts});
		} else {
			logger.info('A target cut off requests or was silent, and has not ended.', fields);
		}
	}
}
