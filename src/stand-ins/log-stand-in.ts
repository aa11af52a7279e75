import {z} from 'zod';
import type {Clock, Ms} from '../clock/index.js';
import {sendJson, type ListenAddress} from '../http/index.js';
import {
	LogTimeoutError, LogUnavailableError, MemoryPlatformLog, type LogStream,
} from '../platform-log/index.js';
import {StandInServer} from './stand-in-server.js';

const faultsSchema = z.strictObject({
	outage: z.boolean().optional(),
	lost_append_answers: z.number().int().nonnegative().optional(),
	late_appends: z.number().int().nonnegative().optional(),
	late_append_ms: z.number().nonnegative().optional(),
	slow_ms: z.number().nonnegative().optional(),
});
const expireSchema = z.strictObject({stream: z.enum(['config', 'claims', 'leases']), below: z.number().int()});
const appendSchema = z.object({records: z.array(z.unknown()).min(1)});

/**
 * Stand-in for the platform's log over HTTP. `POST /faults` replaces the injected faults, `POST /expire` removes old
 * records of a stream, and `GET /appends` returns the number of appends that took effect.
 *
 * @example
 * const log = await LogStandIn.create({clock, listen: {host: '127.0.0.1', port: 0}});
 */
export class LogStandIn {
	static async create(options: {clock: Clock; listen: ListenAddress; retentionMs?: Ms}): Promise<LogStandIn> {
		const log = MemoryPlatformLog.create(options);
		const server = await StandInServer.create({
			listen: options.listen,
			routes: [
				['POST', /^\/v1\/streams\/(config|claims|leases)\/records$/, async ({body, res, params}) => {
					const {records} = appendSchema.parse(body);
					try {
						return await log.append(params[0] as LogStream, records);
					} catch (err) {
						if (err instanceof LogUnavailableError) {
							sendJson(res, 503, {message: err.message});
						} else if (err instanceof LogTimeoutError) {
							// Simulates a lost response: the append took effect or still will, but the connection closes without an answer.
							res.destroy();
						}

						return undefined;
					}
				}],
				['GET', /^\/v1\/streams\/(config|claims|leases)\/records$/, async ({query, res, params}) => {
					const closed = new AbortController();
					res.once('close', () => {
						closed.abort();
					});
					try {
						const page = await log.read(params[0] as LogStream, Number(query.get('from') ?? 0), {
							max: Number(query.get('max') ?? 1000), waitMs: Number(query.get('wait_ms') ?? 0), signal: closed.signal,
						});
						return {...page, records: page.records.map(entry => ({offset: entry.offset, at_ms: entry.atMs, record: entry.record}))};
					} catch (err) {
						sendJson(res, 503, {message: (err as Error).message});
						return undefined;
					}
				}],
				['POST', /^\/faults$/, ({body}) => {
					const faults = faultsSchema.parse(body);
					log.faults = {
						...(faults.outage === undefined ? {} : {outage: faults.outage}),
						...(faults.lost_append_answers === undefined ? {} : {lostAppendAnswers: faults.lost_append_answers}),
						...(faults.late_appends === undefined ? {} : {lateAppends: faults.late_appends}),
						...(faults.late_append_ms === undefined ? {} : {lateAppendMs: faults.late_append_ms}),
						...(faults.slow_ms === undefined ? {} : {slowMs: faults.slow_ms}),
					};
					return faults;
				}],
				['POST', /^\/expire$/, ({body}) => {
					const {stream, below} = expireSchema.parse(body);
					log.expireBelow(stream, below);
					return {};
				}],
				['GET', /^\/appends$/, () => ({appends: log.appends})],
			],
		});
		return new LogStandIn(log, server);
	}

	private constructor(readonly log: MemoryPlatformLog, private readonly server: StandInServer) {}

	get origin(): string {
		return this.server.origin;
	}

	async close(): Promise<void> {
		await this.server.close();
	}
}
