import type {Ms} from '../clock/index.js';
import {isRejection, type RequestResult} from '../requests/index.js';
import type {TraceRequest} from './trace.js';

/** One replayed request with its result. */
export interface RequestRecord {
	readonly request: TraceRequest;
	readonly result: RequestResult;
	/** Time from the arrival at the entry VM to the result, in ms. */
	readonly tookMs: Ms;
	/** Time from the arrival to the first chunk; absent without chunks. */
	readonly firstTokenMs?: Ms;
	/** Time between tokens, one entry for each batch of chunks. */
	readonly gapsMs: readonly Ms[];
	/** True when the answer is the expected one. */
	readonly isCorrect: boolean;
	readonly isAdmitted: boolean;
}

/** True when a request was answered whole, correctly and within its deadline. */
export function isAttained(record: RequestRecord): boolean {
	return !isRejection(record.result) && record.isCorrect && record.tookMs <= record.request.deadline_ms;
}
