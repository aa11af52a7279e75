import type {BodyFraming, WholeBodyEnd} from './body-framing.js';

/**
 * Judges whether the end of a part is the end of a stream that its caller gets in parts, from several targets. What the
 * caller got with chunks or a length may be completed only by a part that declares its end; and no part is the end while
 * an earlier one has shown that more events exist.
 *
 * @example
 * const end = StreamEnd.create('chunked');
 * end.findDenial('connection_end', 8); // 'the response that goes on with the stream does not declare its end'
 */
export class StreamEnd {
	/** Creates the judge of a stream that the caller gets with a framing. */
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
	findDenial(end: WholeBodyEnd, eventCount: number): string | undefined {
		if (!canComplete(this.framing, end)) {
			return 'the response that goes on with the stream does not declare its end';
		}

		return this.#countBeforeMore === eventCount ? 'the response that goes on with the stream has no more events, but an earlier one had' : undefined;
	}
}

/**
 * Whether what a caller gets with a framing may end as complete with a body that ended so. A declared end may complete
 * anything; an orderly end of a connection only what ends with its connection as well.
 *
 * @example
 * canComplete('chunked', 'connection_end'); // false
 */
export function canComplete(framing: BodyFraming, end: WholeBodyEnd): boolean {
	return framing === 'connection' || end !== 'connection_end';
}
