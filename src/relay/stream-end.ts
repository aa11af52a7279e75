import type {BodyFraming, WholeBodyEnd} from './body-framing.js';

/**
 * Judges whether the end of a part is the end of a stream that its caller gets in parts, from several targets. What the
 * caller got with chunks or a length may be completed only by a part that declares its end.
 *
 * @example
 * const end = StreamEnd.create('chunked');
 * end.findDenial('connection_end'); // 'the response that goes on with the stream does not declare its end'
 */
export class StreamEnd {
	/** Creates the judge of a stream that the caller gets with a framing. */
	static create(framing: BodyFraming): StreamEnd {
		return new StreamEnd(framing);
	}

	private constructor(private readonly framing: BodyFraming) {}

	/** Returns why a part that ended so is not the end of the stream; `undefined` if it is. */
	findDenial(end: WholeBodyEnd): string | undefined {
		return canComplete(this.framing, end) ? undefined : 'the response that goes on with the stream does not declare its end';
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
