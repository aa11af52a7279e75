import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {EventRecorder} from '../events/index.js';
import type {PartLogger} from '../logging/index.js';
import type {LogRecord, PlatformLog} from '../platform-log/index.js';
import type {Random} from '../random/index.js';
import {isSameConfig, type ConfigState} from './config-state.js';
import type {AppliedConfig} from './config-view.js';
import {readSnapshot} from './find-snapshot.js';
import {SnapshotSchedule} from './snapshot-schedule.js';

type SnapshotWriterOptions = {clock: Clock; log: PlatformLog; events: EventRecorder; logger: PartLogger; random: Random; intervalMs: Ms};

/**
 * Tracks the snapshots in the stream `config`, and appends one when it is due.
 *
 * @internal
 */
export class SnapshotWriter {
	static create(options: SnapshotWriterOptions): SnapshotWriter {
		return new SnapshotWriter(options);
	}

	readonly #schedule: SnapshotSchedule;
	/** State offset of the latest valid snapshot. */
	#latestOffset = -1;

	private constructor(private readonly options: SnapshotWriterOptions) {
		this.#schedule = SnapshotSchedule.create({...options, now: options.clock.now()});
	}

	/** Validates a snapshot against the configuration folded up to it. An invalid one does not postpone the next. */
	observe(record: LogRecord, folded: AppliedConfig): void {
		const {clock, logger} = this.options;
		const decoded = readSnapshot(record);
		const isInvalid = !decoded || decoded.config.revision > folded.revision
			|| (decoded.config.revision === folded.revision && !isSameConfig(decoded.config, folded));
		if (isInvalid) {
			logger.warn('Cannot use a snapshot: it is corrupt or differs from the folded state.', {offset: record.offset});
			this.#schedule.snapshotMissing(clock.now());
			return;
		}

		this.#latestOffset = decoded.config.offset;
		this.#schedule.snapshotRead(clock.now(), Math.max(0, clock.wall() - record.atMs));
	}

	/** Appends a snapshot if one is due. Does not wait for the append, so that a slow log does not delay reads. */
	appendIfDue(earliest: number, state: () => ConfigState | undefined): void {
		const now = this.options.clock.now();
		if (earliest > 0 && this.#latestOffset + 1 < earliest) {
			this.#schedule.snapshotMissing(now);
		}

		if (this.#schedule.takeDue(now)) {
			const current = state();
			if (current) {
				void this.#append(current);
			}
		}
	}

	async #append(state: ConfigState): Promise<void> {
		const {events, log, logger} = this.options;
		const details = {offset: state.offset, revision: state.revision};
		try {
			await log.append('config', [{kind: 'snapshot', ...state}]);
			events.record({kind: 'config_snapshot', detail: `offset ${state.offset}`});
			logger.info('Appended a snapshot.', details);
		} catch (err) {
			logger.warn('Cannot append a snapshot.', {...details, error: errorMessage(err)});
		}
	}
}
