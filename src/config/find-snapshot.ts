import {z} from 'zod';
import type {LogRecord} from '../platform-log/index.js';
import {decodeConfigState, isNewerConfig, type DecodedConfigState} from './config-state.js';
import type {AppliedConfig} from './config-view.js';

const snapshotKind = z.object({kind: z.literal('snapshot')});

/** True for a record of kind `snapshot`; its content is not validated. */
export function isSnapshotRecord(record: unknown): boolean {
	return snapshotKind.safeParse(record).success;
}

/** Decodes a snapshot record. Returns `undefined` for another kind, a corrupt state, or a state offset not below the record's own. */
export function readSnapshot(entry: LogRecord): DecodedConfigState | undefined {
	const decoded = isSnapshotRecord(entry.record) ? decodeConfigState(entry.record) : undefined;
	return decoded && decoded.config.offset < entry.offset ? decoded : undefined;
}

/**
 * Finds the newest snapshot from which the current state can be rebuilt: every later record is readable, and the snapshot
 * does not revert `current`.
 *
 * @internal
 */
export function findSnapshot(records: readonly LogRecord[], earliest: number, current: AppliedConfig): DecodedConfigState | undefined {
	for (const entry of records.toReversed()) {
		const decoded = readSnapshot(entry);
		if (decoded && decoded.config.offset + 1 >= earliest && isNewerConfig(decoded.config, current)) {
			return decoded;
		}
	}

	return undefined;
}
