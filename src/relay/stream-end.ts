import type {BodyFraming, KnownBodyEnd} from './body-framing.js';

/**
 * Judges whether the end of a part is the end of a stream that its caller gets in parts, from several targets. What began
 * with chunks or a length may be completed only by a part that declares its end; and no part is the end while an earlier
 * one has shown that more events exist.
 *
 * @example
 * const end = StreamEnd.create('chunked');
 * end.findDenial('confirmed_end', 8); // 'the response that goes on with the stream does not declare its end'
 */
export class StreamEnd {
	/** Creates the judge of a stream whose first part has a framing. */
	static create(framing: BodyFraming): StreamEnd {
		return new StreamEnd(framing);
	}

	/** Number of events that the caller had when a part showed that there are more. */
	#countBeforeMore: number | undefined;

	private constructor(private readonly framing: BodyFraming) {}

	/** Records that there are more events than the caller has. */
	recordMore(eventCount: number): void {
		this.#countBeforeMore = eventCount;
	}

	/** Returns why a part that ended so is not the end of the stream; `undefined` if it is. */
	findDenial(end: KnownBodyEnd, eventCount: number): string | undefined {
		if (!canComplete(this.framing, end)) {
			return 'the response that goes on with the stream does not declare its end';
		}

		return this.#countBeforeMore === eventCount ? 'the response that goes on with the stream has no more events, but an earlier one had' : undefined;
	}
}

/**
 * Whether what began with a framing may end as complete with a part that ended so. A declared end may complete anything;
 * an end that is only confirmed completes what had no declared end from its start.
 */
function canComplete(framing: BodyFraming, end: KnownBodyEnd): boolean {
	return framing === 'connection' || end !== 'confirmed_end';
}
