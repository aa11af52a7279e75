import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {EventRecorder} from '../events/index.js';
import type {PartLogger} from '../logs/index.js';
import type {LogRecord, PlatformLog} from '../log/index.js';
import type {Random} from '../random/index.js';
import {isSameConfig, type ConfigState} from './config-state.js';
import type {AppliedConfig} from './config-view.js';
import {readSnapshot} from './find-snapshot.js';
import {SnapshotSchedule} from './snapshot-schedule.js';

type KeeperParts = {clock: Clock; log: PlatformLog; events: EventRecorder; logger: PartLogger; random: Random; intervalMs: Ms};

/**
 * Watches the snapshots of the stream and appends one when it is due.
 *
 * @internal
 */
export class SnapshotKeeper {
	static create(parts: KeeperParts): SnapshotKeeper {
		return new SnapshotKeeper(parts);
	}

	readonly #schedule: SnapshotSchedule;
	/** State offset of the latest right snapshot. */
	#offset = -1;

	private constructor(private readonly parts: KeeperParts) {
		this.#schedule = SnapshotSchedule.create({...parts, now: parts.clock.now()});
	}

	/** Compares a snapshot with the state folded up to it; a wrong one does not delay the next. */
	note(record: LogRecord, folded: AppliedConfig): void {
		const {clock, logger} = this.parts;
		const decoded = readSnapshot(record);
		const isWrong = !decoded || decoded.config.revision > folded.revision
			|| (decoded.config.revision === folded.revision && !isSameConfig(decoded.config, folded));
		if (isWrong) {
			logger.warn('Cannot use a snapshot: it is corrupt or differs from the folded state.', {offset: record.offset});
			this.#schedule.missing(clock.now());
			return;
		}

		this.#offset = decoded.config.offset;
		this.#schedule.seen(clock.now(), Math.max(0, clock.wall() - record.atMs));
	}

	/** Appends a snapshot when it is due. Does not wait for the log, so that a slow append does not delay reading. */
	writeIfDue(earliest: number, state: () => ConfigState | undefined): void {
		const now = this.parts.clock.now();
		if (earliest > 0 && this.#offset + 1 < earliest) {
			this.#schedule.missing(now);
		}

		if (this.#schedule.takeDue(now)) {
			const present = state();
			if (present) {
				void this.#write(present);
			}
		}
	}

	async #write(state: ConfigState): Promise<void> {
		const {events, log, logger} = this.parts;
		const facts = {offset: state.offset, revision: state.revision};
		try {
			await log.append('config', [{kind: 'snapshot', ...state}]);
			events.record({kind: 'config_snapshot', detail: `offset ${state.offset}`});
			logger.info('Appended a snapshot.', facts);
		} catch (err) {
			logger.warn('Cannot append a snapshot.', {...facts, error: errorMessage(err)});
		}
	}
}
