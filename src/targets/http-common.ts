import type {IncomingHttpHeaders} from 'node:http';
import {Pool} from 'undici';
import {z} from 'zod';
import type {Ms} from '../clock/index.js';
import type {TargetHealth} from './engine-port.js';
import {targetHeaders} from './header-names.js';
import type {TargetFailure} from './target-error.js';

/** Timeout of a control call to a target, such as load, health or order. @internal */
export const controlTimeoutMs: Ms = 2000;

/** Called with the health from the headers of a reply; `undefined` when they carry none. */
export type HealthListener = (health: TargetHealth | undefined) => void;

/** @internal */
export const loadSchema = z.object({
	inFlight: z.number(), queued: z.number(), slots: z.number(), ageMs: z.number(),
});

/** @internal */
export const healthSchema = z.object({startId: z.string(), draining: z.boolean()});

/** Parses the start id and draining flag from the headers of a reply. @internal */
export function parseHealthHeaders(headers: IncomingHttpHeaders): TargetHealth | undefined {
	const startId = headers[targetHeaders.startId];
	return typeof startId === 'string' ? {startId, draining: headers[targetHeaders.draining] === 'true'} : undefined;
}

/** Closes idle connections before the target does, which usually happens after 5 s. */
const keepAliveTimeoutMs: Ms = 4000;
const connectTimeoutMs: Ms = 1000;

/** Creates a connection pool for a target. It has no response timeouts; each call sets its own. @internal */
export function createPool(origin: string, connections: number): Pool {
	return new Pool(origin, {
		connections, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: keepAliveTimeoutMs, connect: {timeout: connectTimeoutMs},
	});
}

const notSentErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Classifies the error of a call as `not_sent`, or as `lost` if the target may have run it. @internal */
export function classifyCallError(err: unknown): TargetFailure {
	return notSentErrorCodes.has((err as {code?: string}).code ?? '') ? 'not_sent' : 'lost';
}
