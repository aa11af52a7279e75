import type {IncomingHttpHeaders} from 'node:http';
import {z} from 'zod';
import type {Ms} from '../clock/index.js';
import type {TargetHealth} from './engine-port.js';
import type {TargetFailure} from './target-error.js';

/** Time for a control call (load, health, order) to a target. @internal */
export const controlTimeoutMs: Ms = 2000;

/** Header with the start id of a target. */
export const startIdHeader = 'x-guavamill-start-id';
/** Header that is `true` while a target drains. */
export const drainingHeader = 'x-guavamill-draining';

/** Told the health that a reply carries. */
export type HealthListener = (health: TargetHealth | undefined) => void;

/** @internal */
export const loadSchema = z.object({
	inFlight: z.number(), queued: z.number(), slots: z.number(), ageMs: z.number(),
});

/** @internal */
export const healthSchema = z.object({startId: z.string(), draining: z.boolean()});

/** Reads start id and draining flag from the headers of a reply. @internal */
export function readHealthHeaders(headers: IncomingHttpHeaders): TargetHealth | undefined {
	const startId = headers[startIdHeader];
	return typeof startId === 'string' ? {startId, draining: headers[drainingHeader] === 'true'} : undefined;
}

const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Tells a call that never left this process from one that may have run. @internal */
export function callFailure(err: unknown): TargetFailure {
	return unsentCodes.has((err as {code?: string}).code ?? '') ? 'not_sent' : 'lost';
}
