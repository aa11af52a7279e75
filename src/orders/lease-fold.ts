import {z} from 'zod';
import type {Ms} from '../clock/index.js';
import type {LogRecord} from '../log/index.js';

/** Record of the stream `leases`: takes, renews or releases the lease of a scope. */
export const leaseRecordSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('lease'), id: z.string(), scope: z.string(), holder: z.string(), ttlMs: z.number().positive(),
	}),
	z.object({
		kind: z.literal('release'), id: z.string(), scope: z.string(), holder: z.string(),
	}),
]);

/** A record of the stream `leases`. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;

/** The lease of a scope as the log decides it. Times are the log's own wall clock. */
export interface Lease {
	readonly holder: string;
	/** Offset of the record that began the holder's tenure; it only grows from holder to holder. */
	readonly fencing: number;
	readonly expiresAtMs: Ms;
	/** Id of the record that last took or renewed it. */
	readonly recordId: string;
}

/** Leases by scope. */
export type LeaseTable = ReadonlyMap<string, Lease>;

/**
 * Folds one record: a lease is taken only where the earlier one expired by the log's clock, was released, or has the
 * same holder. Every process that folds the same records agrees.
 *
 * @example
 * table = foldLeases(table, record);
 */
export function foldLeases(table: LeaseTable, entry: LogRecord): LeaseTable {
	const parsed = leaseRecordSchema.safeParse(entry.record);
	if (!parsed.success) {
		return table;
	}

	const record = parsed.data;
	const current = table.get(record.scope);
	const isHeld = current !== undefined && entry.atMs < current.expiresAtMs;
	if (record.kind === 'release') {
		return current?.holder === record.holder ? replace(table, record.scope, {...current, expiresAtMs: Math.min(current.expiresAtMs, entry.atMs)}) : table;
	}

	if (isHeld && current.holder !== record.holder) {
		return table;
	}

	return replace(table, record.scope, {
		holder: record.holder,
		// A holder that let its lease lapse begins a new tenure: another may have held it in between.
		fencing: isHeld ? current.fencing : entry.offset,
		expiresAtMs: entry.atMs + record.ttlMs,
		recordId: record.id,
	});
}

function replace(table: LeaseTable, scope: string, lease: Lease): LeaseTable {
	return new Map(table).set(scope, lease);
}
