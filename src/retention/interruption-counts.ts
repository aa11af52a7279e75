import type {Ms} from '../clock/index.js';

/** Duration of a bucket, and the number of buckets that count: responses of the last 9 to 10 s. */
const bucketMs: Ms = 1000;
const bucketCount = 10;

type Bucket = {readonly index: number; started: number; interrupted: number};

/**
 * Counts recent responses with stage results by the service of their final target: those that started, and those that were
 * interrupted after their start.
 *
 * @example
 * counts.recordStart('engines', now);
 * counts.recent('engines', now); // {started: 1, interrupted: 0}
 */
export class InterruptionCounts {
	static create(): InterruptionCounts {
		return new InterruptionCounts();
	}

	/** Buckets by service, oldest first. */
	readonly #services = new Map<string, Bucket[]>();

	private constructor() {}

	/** Records that a response has started. */
	recordStart(service: string, now: Ms): void {
		this.#currentBucket(service, now).started++;
	}

	/** Records that a response was interrupted after its start. */
	recordInterruption(service: string, now: Ms): void {
		this.#currentBucket(service, now).interrupted++;
	}

	/** Returns the numbers of recent responses of a service. */
	recent(service: string, now: Ms): {readonly started: number; readonly interrupted: number} {
		const buckets = this.#services.get(service) ?? [];
		const oldest = Math.floor(now / bucketMs) - bucketCount;
		while (buckets.length > 0 && buckets[0]!.index <= oldest) {
			buckets.shift();
		}

		if (buckets.length === 0) {
			this.#services.delete(service);
		}

		return {started: sum(buckets, 'started'), interrupted: sum(buckets, 'interrupted')};
	}

	#currentBucket(service: string, now: Ms): Bucket {
		const index = Math.floor(now / bucketMs);
		const buckets = this.#services.get(service) ?? [];
		this.#services.set(service, buckets);
		const latest = buckets.at(-1);
		if (latest?.index === index) {
			return latest;
		}

		const bucket: Bucket = {index, started: 0, interrupted: 0};
		buckets.push(bucket);
		if (buckets.length > bucketCount) {
			buckets.shift();
		}

		return bucket;
	}
}

function sum(buckets: readonly Bucket[], field: 'started' | 'interrupted'): number {
	return buckets.reduce((total, bucket) => total + bucket[field], 0);
}
