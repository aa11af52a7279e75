import {createHash} from 'node:crypto';
import {z} from 'zod';
import type {Ms} from '../clock/index.js';
import {linkLimits} from '../links/index.js';
import {partsKey, type Suspicion} from './suspicion.js';

/** Length of a record's key, in hexadecimal digits. */
const keyDigits = 32;

const recordSchema = z.object({
	// What is read is also sent to peers.
	parts: z.array(z.string().min(1).max(linkLimits.promptPartLength)).min(1).max(linkLimits.promptParts),
	crashes: z.array(z.tuple([z.string().max(linkLimits.crashLength), z.number().positive()])).min(1).max(linkLimits.crashes),
	crashedWallMs: z.number(),
	quarantinedWallMs: z.number(),
});

/** Current monotonic and wall-clock time, to convert times between processes. */
export interface ClockReading {
	readonly nowMs: Ms;
	readonly wallMs: Ms;
}

/** Returns the key of the record of a quarantined set of parts. */
export function recordKey(parts: readonly string[]): string {
	return createHash('sha256').update(partsKey(parts)).digest('hex').slice(0, keyDigits);
}

/** Encodes a quarantined set of parts as the value of a record. */
export function encodeRecord(suspicion: Suspicion, {nowMs, wallMs}: ClockReading): Uint8Array {
	const {parts, crashes, crashedMs, quarantinedMs = nowMs} = suspicion;
	return new TextEncoder().encode(JSON.stringify({
		parts, crashes: [...crashes], crashedWallMs: wallMs - nowMs + crashedMs, quarantinedWallMs: wallMs - nowMs + quarantinedMs,
	}));
}

/** Decodes the value of a record; `undefined` if it describes no quarantined set of parts. */
export function decodeRecord(value: Uint8Array, {nowMs, wallMs}: ClockReading): Suspicion | undefined {
	let json: unknown;
	try {
		json = JSON.parse(new TextDecoder().decode(value));
	} catch {
		return undefined;
	}

	const {success, data} = recordSchema.safeParse(json);
	if (!success) {
		return undefined;
	}

	const crashedMs = Math.min(nowMs, nowMs - wallMs + data.crashedWallMs);
	return {
		parts: data.parts.toSorted(), crashes: new Map(data.crashes), sentMs: crashedMs, crashedMs, goneMs: nowMs, quarantinedMs: Math.min(nowMs, nowMs - wallMs + data.quarantinedWallMs),
	};
}
