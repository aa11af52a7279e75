import type {Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {LogRecord} from '../log/index.js';
import {ConfigLifecycle, type ConfigLifecycleState} from './config-lifecycle.js';
import type {ConfigFollowerParts} from './config-follower-parts.js';
import type {ConfigEndpoint} from './config-peers.js';
import {
	decodeConfigState, encodeConfigState, isNewerConfig, type ChangeVerdict, type ConfigState, type DecodedConfigState,
} from './config-state.js';
import type {AppliedConfig, ConfigView} from './config-view.js';
import {findSnapshot, isSnapshotRecord} from './find-snapshot.js';
import {emptyConfig, foldConfig, type FoldResult} from './fold.js';
import {readStream} from './read-stream.js';
import {SnapshotKeeper} from './snapshot-keeper.js';
import {VerdictMap} from './verdict-map.js';

const pollWaitMs: Ms = 1000;
const retryMs: Ms = 200;
/** A gap without a usable snapshot reads the whole stream again, so it is tried less often. */
const gapRetryMs: Ms = 500;
/** Peers are asked at most this often. */
const peerRequestMs: Ms = 500;
/** Hints within this time of each other start one read; a peer that reports a wrong offset causes no busy loop. */
const minHintGapMs: Ms = 100;
/** Verdicts kept in memory, and carried by snapshots and peer states. 2,600 changes a day make 4096 last a day and a half. */
const heldVerdicts = 4096;
const carriedVerdicts = 256;

/**
 * Follows the stream `config` and keeps the configuration in force. Offsets and revisions only grow.
 *
 * @example
 * const follower = ConfigFollower.create({clock, log, events, logger, random, snapshotMs: 600_000});
 * follower.start();
 */
export class ConfigFollower implements ConfigView, ConfigEndpoint {
	static create(parts: ConfigFollowerParts): ConfigFollower {
		return new ConfigFollower(parts);
	}

	#config: AppliedConfig = emptyConfig;
	readonly #lifecycle = ConfigLifecycle.create();
	readonly #listeners = new Set<(config: AppliedConfig) => void>();
	readonly #progressWaiters = new Set<() => void>();
	readonly #verdicts = VerdictMap.create(heldVerdicts);
	readonly #snapshots: SnapshotKeeper;
	/** Ends the present read or pause; renewed for each, because signals derived from a long-lived one stay in memory. */
	#poll = new AbortController();
	#isStopped = false;
	/** Monotonic times: last answer of the log, last time the state was known to be current, last request and hint. */
	#unreachableSince: Ms | undefined;
	#reachableSince: Ms | undefined;
	#currentAt: Ms | undefined;
	#requestedAt = Number.NEGATIVE_INFINITY;
	#hintedAt = Number.NEGATIVE_INFINITY;

	private constructor(private readonly parts: ConfigFollowerParts) {
		const now = parts.clock.now();
		this.#unreachableSince = now;
		this.#snapshots = SnapshotKeeper.create({...parts, intervalMs: parts.snapshotMs});
		parts.peers?.attach(this);
	}

	/** True while the last read of the log succeeded. */
	get reachable(): boolean {
		return this.#unreachableSince === undefined;
	}

	get state(): ConfigLifecycleState {
		return this.#lifecycle.state;
	}

	/** Time since the log last answered, in ms; 0 while it answers. */
	get unreachableMs(): Ms {
		return this.#unreachableSince === undefined ? 0 : this.parts.clock.now() - this.#unreachableSince;
	}

	/** Time since when the log has answered, in ms; 0 while it does not. */
	get reachableMs(): Ms {
		return this.#unreachableSince === undefined ? this.parts.clock.now() - this.#reachableSince! : 0;
	}

	/** Age of the configuration knowledge in ms; `undefined` before the first. */
	get ageMs(): Ms | undefined {
		return this.#currentAt === undefined ? undefined : this.parts.clock.now() - this.#currentAt;
	}

	/** Number of verdicts held; bounded. */
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

	/** Verdict of a change that this process has folded or learned. */
	verdict(changeId: string): ChangeVerdict | undefined {
		return this.#verdicts.get(changeId);
	}

	/** Resolves when the follower has read or learned something, or when the signal aborts. */
	async progress(signal: AbortSignal): Promise<void> {
		if (signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const wake = () => {
				this.#progressWaiters.delete(wake);
				signal.removeEventListener('abort', wake);
				resolve();
			};

			this.#progressWaiters.add(wake);
			signal.addEventListener('abort', wake);
		});
	}

	start(): void {
		void this.#follow();
	}

	stop(): void {
		this.#isStopped = true;
		this.#poll.abort();
	}

	/** Reads at once instead of waiting for the present read or pause to end. */
	pollNow(): void {
		this.#poll.abort();
	}

	stateAfter(offset: number): ConfigState | undefined {
		return this.#config.offset > offset
			? encodeConfigState(this.#config, this.#verdicts.latest(carriedVerdicts), this.ageMs ?? 0)
			: undefined;
	}

	receive(state: unknown, peer: string): void {
		const decoded = decodeConfigState(state);
		if (!decoded) {
			this.parts.logger.warn('Cannot use a peer\'s configuration: it is malformed or inconsistent.', {peer});
			return;
		}

		if (isNewerConfig(decoded.config, this.#config)) {
			this.#adopt(decoded, `peer ${peer}`);
			this.#currentAt = Math.max(this.#currentAt ?? Number.NEGATIVE_INFINITY, this.parts.clock.now() - decoded.ageMs);
			this.#wake();
		}
	}

	hintOffset(offset: number, _peer: string): void {
		const now = this.parts.clock.now();
		if (offset <= this.#config.offset || now - this.#hintedAt < minHintGapMs) {
			return;
		}

		this.#hintedAt = now;
		if (this.state !== 'following') {
			this.#requestFromPeers(minHintGapMs);
		}

		this.pollNow();
	}

	async #follow(): Promise<void> {
		while (!this.#isStopped) {
			this.#poll = new AbortController();
			const {signal} = this.#poll;
			try {
				await this.#readPage(signal);
			} catch (err) {
				if (!signal.aborted) {
					this.#fail(err);
					await this.parts.clock.sleep(retryMs, signal);
				}
			}

			this.#wake();
		}
	}

	async #readPage(signal: AbortSignal): Promise<void> {
		const {clock, log} = this.parts;
		const startedAt = clock.now();
		// After a failure or a gap the first read does not wait, so that the state is known at once.
		const waitMs = this.state === 'following' ? pollWaitMs : 0;
		const page = await log.read('config', this.#config.offset + 1, {waitMs, signal});
		this.#reachableSince = this.#unreachableSince === undefined ? this.#reachableSince : clock.now();
		this.#unreachableSince = undefined;
		if (page.earliest > this.#config.offset + 1) {
			await this.#recover(signal);
			return;
		}

		for (const record of page.records) {
			this.#fold(record);
		}

		this.#lifecycle.send({type: 'READ'});
		if (this.#config.offset + 1 >= page.next) {
			this.#currentAt = Math.max(this.#currentAt ?? startedAt, startedAt);
		}

		this.#snapshots.writeIfDue(page.earliest, () => this.stateAfter(-1));
	}

	#fail(err: unknown): void {
		if (this.#lifecycle.send({type: 'FAILED'})) {
			this.parts.logger.warn('Cannot read the log.', {error: errorMessage(err)});
		}

		this.#unreachableSince ??= this.parts.clock.now();
		this.#requestFromPeers();
	}

	/** Records before the next offset have expired: starts over from a snapshot and serves the old state meanwhile. */
	async #recover(signal: AbortSignal): Promise<void> {
		const {clock, events, log, logger} = this.parts;
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

		this.#adopt(snapshot, 'snapshot');
		for (const record of stream.records) {
			this.#fold(record);
		}
	}

	#adopt(decoded: DecodedConfigState, source: string): void {
		const before = this.#config.revision;
		this.#config = decoded.config;
		for (const verdict of decoded.verdicts) {
			this.#verdicts.add(verdict);
		}

		if (decoded.config.revision > before) {
			this.#announce({source});
		}
	}

	#fold(record: LogRecord): void {
		if (record.offset > this.#config.offset && isSnapshotRecord(record.record)) {
			this.#snapshots.note(record, this.#config);
		}

		const result = foldConfig(this.#config, record);
		this.#config = result.config;
		this.#report(result);
	}

	#report({verdict, changeId}: FoldResult): void {
		if (verdict === 'ignored' || changeId === undefined) {
			return;
		}

		this.#verdicts.add({id: changeId, verdict, revision: this.#config.revision});
		if (verdict === 'accepted') {
			this.#announce({changeId});
		} else {
			this.parts.events.record({kind: 'config_rejected', detail: `${verdict}: change ${changeId}`});
		}
	}

	#announce(facts: Record<string, unknown>): void {
		const {revision} = this.#config;
		this.parts.events.record({kind: 'config_applied', detail: `revision ${revision}`});
		this.parts.logger.info('Applied a revision.', {revision, ...facts});
		for (const listener of this.#listeners) {
			listener(this.#config);
		}
	}

	#requestFromPeers(minGapMs: Ms = peerRequestMs): void {
		const now = this.parts.clock.now();
		if (this.parts.peers && now - this.#requestedAt >= minGapMs) {
			this.#requestedAt = now;
			this.parts.peers.request(this.#config.offset);
		}
	}

	#wake(): void {
		for (const wake of this.#progressWaiters) {
			wake();
		}
	}
}
