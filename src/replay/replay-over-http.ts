import {Pool} from 'undici';
import type {Clock} from '../clock/index.js';
import {DeclarationSet} from '../config/index.js';
import {errorMessage} from '../errors/index.js';
import {isRejection, type RequestResult} from '../requests/index.js';
import {readAnswerStream} from './answer-stream.js';
import {createDeployment} from './deployment.js';
import {expectedText} from './expected-text.js';
import {TokenLatencyRecorder} from './token-latency-recorder.js';
import {createReport, type ReplayReport} from './report.js';
import {requestBody} from './request-body.js';
import type {RequestRecord} from './request-record.js';
import type {Trace, TraceRequest} from './trace.js';

/** Options of `replayOverHttp`. */
export interface HttpReplayOptions {
	readonly clock: Clock;
	/** Origins of the entry VMs. The entry VM names in the trace are assigned to them round-robin, in sorted order. */
	readonly entryVms: readonly string[];
	/** Maximum open requests per entry VM. Further requests wait for a connection. */
	readonly connections?: number;
	/** Stops sending requests when aborted. */
	readonly signal?: AbortSignal;
}

const defaultConnections = 256;
/** Time after the deadline of a request before its HTTP request is aborted. */
const responseGraceMs = 5000;

/**
 * Sends the requests of a trace to running entry VMs at their arrival times and checks the answers. The faults of
 * the trace are not applied; they must be injected at the targets. The report has no `fleet` metrics, which need
 * simulated targets.
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
	const pending: Array<Promise<RequestRecord>> = [];
	try {
		for (const request of trace.requests) {
			await clock.sleep(Math.max(0, startedAt + request.at_ms - clock.now()), options.signal);
			if (options.signal?.aborted) {
				break;
			}

			pending.push(send(request, {
				clock, pool: poolOf(request), body: JSON.stringify(requestBody(request, startWallMs)), expected: expectedText(request, declarations),
			}));
		}

		const records = await Promise.all(pending);
		return createReport({
			trace, policy: 'entry VMs', records, declarations, callerLatencyMs: 0,
		});
	} finally {
		await Promise.all(pools.map(async pool => pool.destroy()));
	}
}

type SendOptions = {clock: Clock; pool: Pool; body: string; expected: string | undefined};

async function send(request: TraceRequest, {clock, pool, body, expected}: SendOptions): Promise<RequestRecord> {
	const startedAt = clock.now();
	const latencies = new TokenLatencyRecorder(startedAt);
	const {result, isComplete} = await postRequest(request, pool, {
		body,
		onChunks(count) {
			latencies.add(count, clock.now());
		},
	});
	return {
		request,
		result,
		latencyMs: clock.now() - startedAt,
		...(latencies.firstTokenMs === undefined ? {} : {firstTokenMs: latencies.firstTokenMs}),
		interTokenMs: latencies.interTokenMs,
		isCorrect: isComplete && !isRejection(result) && (expected === undefined || result.answer === expected),
		// A rejection before admission has an HTTP status, a later one is an event of the stream. Only `overloaded` counts as not admitted.
		isAdmitted: !isRejection(result) || result.reason !== 'overloaded',
	};
}

async function postRequest(request: TraceRequest, pool: Pool, options: {body: string; onChunks: (count: number) => void}): Promise<{result: RequestResult; isComplete: boolean}> {
	try {
		const res = await pool.request({
			method: 'POST',
			path: `/v1/pipelines/${encodeURIComponent(request.pipeline)}/requests`,
			headers: {'content-type': 'application/json'},
			body: options.body,
			signal: AbortSignal.timeout(request.deadline_ms + responseGraceMs),
		});
		if (!String(res.headers['content-type']).startsWith('text/event-stream')) {
			return {result: await res.body.json() as RequestResult, isComplete: true};
		}

		const {result, isComplete} = await readAnswerStream(res.body, options.onChunks);
		return {result: result ?? unknownResult(request, 'the stream ended without an answer'), isComplete};
	} catch (err) {
		return {result: unknownResult(request, errorMessage(err)), isComplete: false};
	}
}

/** Returns the result of a request that got no answer: the caller cannot know which stages ran. */
function unknownResult(request: TraceRequest, state: string): RequestResult {
	return {
		request_id: request.id, outcome: 'unknown', reason: 'internal', message: `Cannot read the answer: ${state}`,
	};
}
