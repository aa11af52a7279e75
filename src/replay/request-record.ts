import type {Ms} from '../clock/index.js';
import {isRejection, type RequestResult} from '../requests/index.js';
import type {TraceRequest} from './trace.js';

/** One replayed request with its result. */
export interface RequestRecord {
	readonly request: TraceRequest;
	readonly result: RequestResult;
	/** Time from the arrival at the entry VM to the result. */
	readonly latencyMs: Ms;
	/** Time from the arrival to the first chunk. Absent when no chunk arrived. */
	readonly firstTokenMs?: Ms;
	/** Mean inter-token latency of each batch of chunks after the first. */
	readonly interTokenMs: readonly Ms[];
	/** True when the answer is complete and equals the expected answer. */
	readonly isCorrect: boolean;
	readonly isAdmitted: boolean;
}

/** True when a request was answered completely, correctly and within its deadline. */
export function isAttained(record: RequestRecord): boolean {
	return !isRejection(record.result) && record.isCorrect && record.latencyMs <= record.request.deadline_ms;
}
