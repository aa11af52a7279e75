import {z} from 'zod';
import type {Ms} from '../clock/index.js';
import type {LogRecord} from '../platform-log/index.js';

/** Schema of a record of the stream `leases`, which acquires, renews or releases the lease of a scope. */
export const leaseRecordSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('lease'), id: z.string(), scope: z.string(), holder: z.string(), ttlMs: z.number().positive(),
	}),
	z.object({
		kind: z.literal('release'), id: z.string(), scope: z.string(), holder: z.string(),
	}),
]);

/** Record of the stream `leases`. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;

/** Lease of a scope, as determined by the log. Times are timestamps of the log. */
export interface Lease {
	readonly holder: string;
	/** Fencing token: offset of the record that began the holder's term. It increases with every term. */
	readonly fencing: number;
	readonly expiresAtMs: Ms;
	/** Id of the record that last acquired or renewed the lease. */
	readonly recordId: string;
}

/** Leases by scope. */
export type LeaseTable = ReadonlyMap<string, Lease>;

/**
 * Folds one record of the stream `leases` into the table. A lease can be acquired only if the earlier one has expired by
 * the log's clock, was released, or has the same holder. All processes that fold the same records reach the same table.
 *
 * @example
 * table = foldLeases(table, logRecord);
 */
export function foldLeases(table: LeaseTable, logRecord: LogRecord): LeaseTable {
	const parsed = leaseRecordSchema.safeParse(logRecord.record);
	if (!parsed.success) {
		return table;
	}

	const record = parsed.data;
	const current = table.get(record.scope);
	const isHeld = current !== undefined && logRecord.atMs < current.expiresAtMs;
	if (record.kind === 'release') {
		return current?.holder === record.holder ? withLease(table, record.scope, {...current, expiresAtMs: Math.min(current.expiresAtMs, logRecord.atMs)}) : table;
	}

	if (isHeld && current.holder !== record.holder) {
		return table;
	}

	return withLease(table, record.scope, {
		holder: record.holder,
		// A holder whose lease expired begins a new term, because another holder may have had the lease in between.
		fencing: isHeld ? current.fencing : logRecord.offset,
		expiresAtMs: logRecord.atMs + record.ttlMs,
		recordId: record.id,
	});
}

function withLease(table: LeaseTable, scope: string, lease: Lease): LeaseTable {
	return new Map(table).set(scope, lease);
}
