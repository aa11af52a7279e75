import type {IncomingHttpHeaders} from 'node:http';
import {Pool} from 'undici';
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

/** Idle connections are dropped before a target's usual keep-alive of 5 s ends them. */
const keepAliveMs: Ms = 4000;
const connectTimeoutMs: Ms = 1000;

/** Pool of connections to a target; time limits are the caller's. @internal */
export function createPool(origin: string, connections: number): Pool {
	return new Pool(origin, {
		connections, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: keepAliveMs, connect: {timeout: connectTimeoutMs},
	});
}

const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Tells a call that never left this process from one that may have run. @internal */
export function callFailure(err: unknown): TargetFailure {
	return unsentCodes.has((err as {code?: string}).code ?? '') ? 'not_sent' : 'lost';
}
