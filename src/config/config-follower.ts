import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {EventRecorder} from '../events/index.js';
import type {PartLogger} from '../logs/index.js';
import type {PlatformLog} from '../platform/index.js';
import type {AppliedConfig, ConfigView} from './config-view.js';
import {emptyConfig, foldConfig, type FoldVerdict} from './fold.js';

const pollWaitMs: Ms = 1000;
const retryMs: Ms = 200;

/**
 * Follows the stream `config` and keeps the configuration in force. Offsets and revisions only grow.
 *
 * @example
 * const follower = ConfigFollower.create({clock, log, events, logger});
 * follower.start();
 */
export class ConfigFollower implements ConfigView {
	static create(parts: {clock: Clock; log: PlatformLog; events: EventRecorder; logger: PartLogger}): ConfigFollower {
		return new ConfigFollower(parts);
	}

	#config: AppliedConfig = emptyConfig;
	readonly #listeners = new Set<(config: AppliedConfig) => void>();
	readonly #verdicts = new Map<string, FoldVerdict>();
	readonly #stopped = new AbortController();
	#reachable = false;

	private constructor(private readonly parts: {clock: Clock; log: PlatformLog; events: EventRecorder; logger: PartLogger}) {}

	/** True while the last read of the log succeeded. */
	get reachable(): boolean {
		return this.#reachable;
	}

	current(): AppliedConfig {
		return this.#config;
	}

	onChange(listener: (config: AppliedConfig) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Verdict of a change that this process has folded. */
	verdict(changeId: string): FoldVerdict | undefined {
		return this.#verdicts.get(changeId);
	}

	start(): void {
		void this.#follow();
	}

	stop(): void {
		this.#stopped.abort();
	}

	async #follow(): Promise<void> {
		while (!this.#stopped.signal.aborted) {
			try {
				await this.#readPage();
				this.#reachable = true;
			} catch (err) {
				if (this.#reachable) {
					this.parts.logger.warn('Cannot read the log.', {error: errorMessage(err)});
				}

				this.#reachable = false;
				await this.parts.clock.sleep(retryMs, this.#stopped.signal);
			}
		}
	}

	async #readPage(): Promise<void> {
		const page = await this.parts.log.read('config', this.#config.offset + 1, {waitMs: pollWaitMs, signal: this.#stopped.signal});
		for (const record of page.records) {
			const {config, verdict, changeId} = foldConfig(this.#config, record);
			this.#config = config;
			if (changeId !== undefined) {
				this.#verdicts.set(changeId, verdict);
			}

			this.#report(verdict, changeId);
		}
	}

	#report(verdict: FoldVerdict, changeId: string | undefined): void {
		if (verdict === 'accepted') {
			this.parts.events.record({kind: 'config_applied', detail: `revision ${this.#config.revision}`});
			this.parts.logger.info('Applied a change.', {revision: this.#config.revision, changeId});
			for (const listener of this.#listeners) {
				listener(this.#config);
			}
		} else if (verdict === 'conflict') {
			this.parts.events.record({kind: 'config_rejected', detail: `change ${changeId}`});
		}
	}
}
