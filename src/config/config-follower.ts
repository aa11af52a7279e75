import type {Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {LogRecord} from '../platform-log/index.js';
import {ConfigLifecycle, type ConfigLifecycleState} from './config-lifecycle.js';
import type {ConfigFollowerOptions} from './config-follower-options.js';
import type {ConfigEndpoint} from './config-peers.js';
import {
	decodeConfigState, encodeConfigState, isNewerConfig, type ChangeVerdict, type ConfigState, type DecodedConfigState,
} from './config-state.js';
import type {AppliedConfig, ConfigView} from './config-view.js';
import {findSnapshot, isSnapshotRecord} from './find-snapshot.js';
import {emptyConfig, foldConfig, type FoldResult} from './fold-config.js';
import {readStream} from './read-stream.js';
import {SnapshotWriter} from './snapshot-writer.js';
import {VerdictMap} from './verdict-map.js';

/** Maximum time for which a read waits for new records. */
const longPollMs: Ms = 1000;
const readRetryMs: Ms = 200;
/** Longer than `readRetryMs`, because each retry after a gap reads the whole stream. */
const gapRetryMs: Ms = 500;
const minPeerRequestIntervalMs: Ms = 500;
/** Minimum time between reads started by hints, so that a peer that reports a wrong offset cannot cause a busy loop. */
const minHintIntervalMs: Ms = 100;
/** Verdicts kept in memory. At 2,600 changes a day, 4096 verdicts cover a day and a half. */
const maxHeldVerdicts = 4096;
/** Verdicts included in snapshots and in states sent to peers. */
const maxSentVerdicts = 256;

/**
 * Reads the log stream `config` and maintains the configuration in force. Offsets and revisions never decrease.
 *
 * @example
 * const follower = ConfigFollower.create({clock, log, events, logger, random, snapshotMs: 600_000});
 * follower.start();
 */
export class ConfigFollower implements ConfigView, ConfigEndpoint {
	static create(options: ConfigFollowerOptions): ConfigFollower {
		return new ConfigFollower(options);
	}

	#config: AppliedConfig = emptyConfig;
	readonly #lifecycle = ConfigLifecycle.create();
	readonly #listeners = new Set<(config: AppliedConfig) => void>();
	readonly #progressWaiters = new Set<() => void>();
	readonly #verdicts = VerdictMap.create(maxHeldVerdicts);
	readonly #snapshotWriter: SnapshotWriter;
	/** Cancels the current read or delay. Replaced for each, because signals derived from a long-lived signal stay in memory. */
	#pollController = new AbortController();
	#isStopped = false;
	/**
	 * Monotonic times: when the log became unreachable or reachable, when the configuration was last known to be current, and
	 * the last request to peers and hint.
	 */
	#unreachableSince: Ms | undefined;
	#reachableSince: Ms | undefined;
	#currentAt: Ms | undefined;
	#peersRequestedAt = Number.NEGATIVE_INFINITY;
	#hintedAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly options: ConfigFollowerOptions) {
		const now = options.clock.now();
		this.#unreachableSince = now;
		this.#snapshotWriter = SnapshotWriter.create({...options, intervalMs: options.snapshotMs});
		options.peers?.attach(this);
	}

	/** True while the last read of the log succeeded. */
	get isLogReachable(): boolean {
		return this.#unreachableSince === undefined;
	}

	get state(): ConfigLifecycleState {
		return this.#lifecycle.state;
	}

	/** Time since reads of the log began to fail, in ms; 0 while they succeed. */
	get logUnreachableMs(): Ms {
		return this.#unreachableSince === undefined ? 0 : this.options.clock.now() - this.#unreachableSince;
	}

	/** Time since reads of the log began to succeed, in ms; 0 while they fail. */
	get logReachableMs(): Ms {
		return this.#unreachableSince === undefined ? this.options.clock.now() - this.#reachableSince! : 0;
	}

	/** Time since the configuration was last known to be current, in ms; `undefined` before the first time. */
	get ageMs(): Ms | undefined {
		return this.#currentAt === undefined ? undefined : this.options.clock.now() - this.#currentAt;
	}

	/** Number of verdicts in memory; bounded. */
	get verdictCount(): number {
		return this.#verdicts.size;
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

	/** Verdict of a change that this process has read from the log or received in a snapshot or a peer's state. */
	verdict(changeId: string): ChangeVerdict | undefined {
		return this.#verdicts.get(changeId);
	}

	/** Resolves after the next read attempt or the next newer state from a peer, or when the signal aborts. */
	async waitForProgress(signal: AbortSignal): Promise<void> {
		if (signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				this.#progressWaiters.delete(finish);
				signal.removeEventListener('abort', finish);
				resolve();
			};

			this.#progressWaiters.add(finish);
			signal.addEventListener('abort', finish);
		});
	}

	start(): void {
		void this.#run();
	}

	stop(): void {
		this.#isStopped = true;
		this.#pollController.abort();
	}

	/** Starts a new read immediately, cancelling the current read or delay. */
	pollNow(): void {
		this.#pollController.abort();
	}

	stateAfter(offset: number): ConfigState | undefined {
		return this.#config.offset > offset
			? encodeConfigState(this.#config, this.#verdicts.latest(maxSentVerdicts), this.ageMs ?? 0)
			: undefined;
	}

	receive(state: unknown, peer: string): void {
		const decoded = decodeConfigState(state);
		if (!decoded) {
			this.options.logger.warn('Cannot use a peer\'s configuration: it is malformed or inconsistent.', {peer});
			return;
		}

		if (isNewerConfig(decoded.config, this.#config)) {
			this.#replaceConfig(decoded, `peer ${peer}`);
			this.#currentAt = Math.max(this.#currentAt ?? Number.NEGATIVE_INFINITY, this.options.clock.now() - decoded.ageMs);
			this.#notifyProgress();
		}
	}

	hintOffset(offset: number, _peer: string): void {
		const now = this.options.clock.now();
		if (offset <= this.#config.offset || now - this.#hintedAt < minHintIntervalMs) {
			return;
		}

		this.#hintedAt = now;
		if (this.state !== 'following') {
			this.#requestFromPeers(minHintIntervalMs);
		}

		this.pollNow();
	}

	async #run(): Promise<void> {
		while (!this.#isStopped) {
			this.#pollController = new AbortController();
			const {signal} = this.#pollController;
			try {
				await this.#readPage(signal);
			} catch (err) {
				if (!signal.aborted) {
					this.#handleReadError(err);
					await this.options.clock.sleep(readRetryMs, signal);
				}
			}

			this.#notifyProgress();
		}
	}

	async #readPage(signal: AbortSignal): Promise<void> {
		const {clock, log} = this.options;
		const startedAt = clock.now();
		// After a failure or a gap the first read returns without waiting for records, so that the state is known immediately.
		const waitMs = this.state === 'following' ? longPollMs : 0;
		const page = await log.read('config', this.#config.offset + 1, {waitMs, signal});
		this.#reachableSince = this.#unreachableSince === undefined ? this.#reachableSince : clock.now();
		this.#unreachableSince = undefined;
		if (page.earliest > this.#config.offset + 1) {
			await this.#recoverFromGap(signal);
			return;
		}

		for (const record of page.records) {
			this.#applyRecord(record);
		}

		this.#lifecycle.send({type: 'READ'});
		if (this.#config.offset + 1 >= page.next) {
			this.#currentAt = Math.max(this.#currentAt ?? startedAt, startedAt);
		}

		this.#snapshotWriter.appendIfDue(page.earliest, () => this.stateAfter(-1));
	}

	#handleReadError(err: unknown): void {
		if (this.#lifecycle.send({type: 'FAILED'})) {
			this.options.logger.warn('Cannot read the log.', {error: errorMessage(err)});
		}

		this.#unreachableSince ??= this.options.clock.now();
		this.#requestFromPeers();
	}

	/** Handles a gap of expired records: restarts from a snapshot. The previous configuration stays in force until then. */
	async #recoverFromGap(signal: AbortSignal): Promise<void> {
		const {clock, events, log, logger} = this.options;
		if (this.#lifecycle.send({type: 'GAP'})) {
			events.record({kind: 'config_gap', detail: `offset ${this.#config.offset}`});
			logger.warn('Cannot read the next records: they have expired.', {offset: this.#config.offset});
		}

		const stream = await readStream(log, 'config', signal);
		const snapshot = findSnapshot(stream.records, stream.earliest, this.#config);
		if (!snapshot) {
			this.#requestFromPeers();
			await clock.sleep(gapRetryMs, signal);
			return;
		}

		this.#replaceConfig(snapshot, 'snapshot');
		for (const record of stream.records) {
			this.#applyRecord(record);
		}
	}

	#replaceConfig(decoded: DecodedConfigState, source: string): void {
		const previousRevision = this.#config.revision;
		this.#config = decoded.config;
		for (const verdict of decoded.verdicts) {
			this.#verdicts.add(verdict);
		}

		if (decoded.config.revision > previousRevision) {
			this.#publishRevision({source});
		}
	}

	#applyRecord(record: LogRecord): void {
		if (record.offset > this.#config.offset && isSnapshotRecord(record.record)) {
			this.#snapshotWriter.observe(record, this.#config);
		}

		const result = foldConfig(this.#config, record);
		this.#config = result.config;
		this.#recordResult(result);
	}

	#recordResult({verdict, changeId}: FoldResult): void {
		if (verdict === 'ignored' || changeId === undefined) {
			return;
		}

		this.#verdicts.add({id: changeId, verdict, revision: this.#config.revision});
		if (verdict === 'accepted') {
			this.#publishRevision({changeId});
		} else {
			this.options.events.record({kind: 'config_rejected', detail: `${verdict}: change ${changeId}`});
		}
	}

	#publishRevision(details: Record<string, unknown>): void {
		const {revision} = this.#config;
		this.options.events.record({kind: 'config_applied', detail: `revision ${revision}`});
		this.options.logger.info('Applied a revision.', {revision, ...details});
		for (const listener of this.#listeners) {
			listener(this.#config);
		}
	}

	#requestFromPeers(minIntervalMs: Ms = minPeerRequestIntervalMs): void {
		const now = this.options.clock.now();
		if (this.options.peers && now - this.#peersRequestedAt >= minIntervalMs) {
			this.#peersRequestedAt = now;
			this.options.peers.request(this.#config.offset);
		}
	}

	#notifyProgress(): void {
		for (const resume of this.#progressWaiters) {
			resume();
		}
	}
}
