import {Pool} from 'undici';
import type {Clock} from '../clock/index.js';
import {DeclarationSet} from '../config/index.js';
import {errorMessage} from '../errors/index.js';
import {isRejection, type RequestResult} from '../requests/index.js';
import {readAnswerStream} from './answer-stream.js';
import {createDeployment} from './deployment.js';
import {expectedText} from './expected-text.js';
import {GapMeter} from './token-latency-recorder.js';
import {createReport, type ReplayReport} from './report.js';
import {requestBody} from './request-body.js';
import type {RequestRecord} from './request-record.js';
import type {Trace, TraceRequest} from './trace.js';

/** How to replay against running entry VMs. */
export interface HttpReplayOptions {
	readonly clock: Clock;
	/** Origins of the entry VMs; the names in the trace are spread over them in order. */
	readonly entryVms: readonly string[];
	/** Open requests per entry VM; further ones wait for a connection. */
	readonly connections?: number;
	/** Ends the replay early. */
	readonly signal?: AbortSignal;
}

const defaultConnections = 256;
/** Added to a request's deadline before its connection is given up. */
const answerRoomMs = 5000;

/**
 * Sends the requests of a trace at their times to running entry VMs and checks the answers. The trace's faults are
 * not applied: whoever runs the targets asks them for faults. Figures that only fakes can tell are absent.
 *
 * @example
 * const report = await replayOverHttp(trace, {clock, entryVms: ['http://127.0.0.1:7000']});
 */
export async function replayOverHttp(trace: Trace, options: HttpReplayOptions): Promise<ReplayReport> {
	const {clock} = options;
	const declarations = DeclarationSet.create(createDeployment(trace.header.deployment).declarations);
	const pools = options.entryVms.map(origin => new Pool(origin, {connections: options.connections ?? defaultConnections}));
	const names = [...new Set(trace.requests.map(request => request.entry_vm))].sort((left, right) => left.localeCompare(right));
	const poolOf = (request: TraceRequest) => pools[names.indexOf(request.entry_vm) % pools.length]!;
	const startedAt = clock.now();
	const startWallMs = clock.wall();
	const open: Array<Promise<RequestRecord>> = [];
	try {
		for (const request of trace.requests) {
			await clock.sleep(Math.max(0, startedAt + request.at_ms - clock.now()), options.signal);
			if (options.signal?.aborted) {
				break;
			}

			open.push(send(request, {
				clock, pool: poolOf(request), body: JSON.stringify(requestBody(request, startWallMs)), expected: expectedText(request, declarations),
			}));
		}

		const records = await Promise.all(open);
		return createReport({
			trace, policy: 'entry VMs', records, declarations, clientMs: 0,
		});
	} finally {
		await Promise.all(pools.map(async pool => pool.destroy()));
	}
}

type SendOptions = {clock: Clock; pool: Pool; body: string; expected: string | undefined};

async function send(request: TraceRequest, {clock, pool, body, expected}: SendOptions): Promise<RequestRecord> {
	const startedAt = clock.now();
	const meter = new GapMeter(startedAt);
	const {result, isWhole} = await exchange(request, pool, {
		body,
		onChunks(count) {
			meter.add(count, clock.now());
		},
	});
	return {
		request,
		result,
		tookMs: clock.now() - startedAt,
		...(meter.firstTokenMs === undefined ? {} : {firstTokenMs: meter.firstTokenMs}),
		gapsMs: meter.gapsMs,
		isCorrect: isWhole && !isRejection(result) && (expected === undefined || result.answer === expected),
		// A rejection before admission has a status; later ones come as an event of the stream.
		isAdmitted: !isRejection(result) || result.reason !== 'overloaded',
	};
}

async function exchange(request: TraceRequest, pool: Pool, options: {body: string; onChunks: (count: number) => void}): Promise<{result: RequestResult; isWhole: boolean}> {
	try {
		const res = await pool.request({
			method: 'POST',
			path: `/v1/pipelines/${encodeURIComponent(request.pipeline)}/requests`,
			headers: {'content-type': 'application/json'},
			body: options.body,
			signal: AbortSignal.timeout(request.deadline_ms + answerRoomMs),
		});
		if (!String(res.headers['content-type']).startsWith('text/event-stream')) {
			return {result: await res.body.json() as RequestResult, isWhole: true};
		}

		const {result, isWhole} = await readAnswerStream(res.body, options.onChunks);
		return {result: result ?? noAnswer(request, 'the stream ended without an answer'), isWhole};
	} catch (err) {
		return {result: noAnswer(request, errorMessage(err)), isWhole: false};
	}
}

/** Stands for a request whose connection broke; a caller knows nothing of what ran. */
function noAnswer(request: TraceRequest, state: string): RequestResult {
	return {
		request_id: request.id, outcome: 'unknown', reason: 'internal', message: `Cannot read the answer: ${state}`,
	};
}
