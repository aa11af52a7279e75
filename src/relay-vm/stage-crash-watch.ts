import type {Clock} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';
import type {LostStageCall, StageCrash} from '../pools/index.js';
import type {RelayTarget} from '../registry/index.js';
import {CrashWatch, type BrokenAttempt, type ProbeResult} from '../relay/index.js';
import {nameStart} from './name-start.js';

/** Stages of a request that were in a call which got no whole response. */
type LostStageAttempt = BrokenAttempt & {readonly onCrash: (crash: StageCrash) => void};

/** Options of {@link StageCrashWatch}. */
export interface StageCrashWatchOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly probe: (target: RelayTarget) => Promise<ProbeResult>;
	/** Called once for each crash, before the plans are told. */
	readonly onCrash: () => void;
}

/**
 * Finds out whether a stage target has crashed in a call, and tells the plans whose pieces were in it.
 *
 * @example
 * watch.callLost(call);
 */
export class StageCrashWatch {
	static create(options: StageCrashWatchOptions): StageCrashWatch {
		return new StageCrashWatch(options);
	}

	readonly #watch: CrashWatch<LostStageAttempt>;

	private constructor({clock, logger, probe, onCrash: onTargetCrash}: StageCrashWatchOptions) {
		this.#watch = CrashWatch.create({
			clock,
			logger,
			probe,
			onCrash({target, attempts}) {
				onTargetCrash();
				for (const {onCrash, sentMs, brokenMs} of attempts) {
					onCrash({crash: nameStart(target), sentMs, brokenMs});
				}
			},
		});
	}

	/** Handles a call without a whole response. */
	callLost({target, pieces, sentMs, lostMs}: LostStageCall): void {
		const jobs = new Map(pieces.map(({job}) => [job.attemptId, job]));
		for (const {attemptId, onCrash} of jobs.values()) {
			if (onCrash) {
				this.#watch.attemptBroken(target, {
					attemptId, parts: [], progress: 'waiting', sentMs, brokenMs: lostMs, onCrash,
				});
			}
		}
	}
}
