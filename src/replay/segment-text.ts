import type {TraceSegment} from './trace.js';

const charactersPerToken = 4;
const texts = new Map<string, string>();

/** Returns the text of a segment. When the trace gives only a token count, the text is derived from the ID and is the same on every call. */
export function segmentText(segment: TraceSegment): string {
	if ('text' in segment) {
		return segment.text;
	}

	const key = `${segment.id}:${segment.tokens}`;
	let text = texts.get(key);
	if (text === undefined) {
		const length = segment.tokens * charactersPerToken;
		text = `${segment.id} `.repeat(Math.ceil(length / (segment.id.length + 1))).slice(0, length);
		texts.set(key, text);
	}

	return text;
}
