/** Bounds on the memory of a process that requests and responses take. */
export interface MemoryBounds {
	/** For the requests of all callers. */
	readonly requestBytes: number;
	/** For the responses of all requests in progress. */
	readonly responseBytes: number;
	/** For buffers that are no longer in use and have not been collected. */
	readonly garbageBytes: number;
}

const mebibyte = 1024 * 1024;
/** Bounds of a process whose memory is not known, and of one that has `fullBytes` or more. */
const fullBounds: MemoryBounds = {requestBytes: 40 * mebibyte, responseBytes: 48 * mebibyte, garbageBytes: 24 * mebibyte};
const fullBytes = 350e6;
/** Memory that the process takes without requests. */
const ownBytes = 135e6;
/** Share of the bounds that is left in any case, so that the largest response, of 8 MiB, and a request of 4 MiB fit. */
const minShare = 0.25;

/**
 * Returns the bounds for the memory that the operator gives the process: what is left beside the process itself bounds
 * them in proportion, since bytes that are read or freed a moment ago take about as much again.
 */
export function memoryBoundsOf(memoryBytes: number | undefined): MemoryBounds {
	const share = memoryBytes === undefined ? 1 : Math.min(1, Math.max(minShare, (memoryBytes - ownBytes) / (fullBytes - ownBytes)));
	return {
		requestBytes: Math.floor(fullBounds.requestBytes * share), responseBytes: Math.floor(fullBounds.responseBytes * share), garbageBytes: Math.floor(fullBounds.garbageBytes * share),
	};
}
