import {expect, test} from 'vitest';
import {readAnswerStream} from './answer-stream.js';

const encoder = new TextEncoder();

async function * bytes(...parts: string[]): AsyncIterable<Uint8Array> {
	for (const part of parts) {
		yield encoder.encode(part);
	}
}

const chunk = (index: number) => `event: chunk\ndata: {"index":${index},"text":"é"}\n\n`;
const answer = 'event: answer\ndata: {"outcome":"done","answer":"éé"}\n\n';

// Guards against accepting a stream with missing, repeated or surplus events as complete.
test.each([
	['that is complete', [chunk(0), chunk(1), answer], true],
	['that is split within an event', [chunk(0).slice(0, 20), chunk(0).slice(20) + chunk(1) + answer], true],
	['with a missing chunk', [chunk(1), answer], false],
	['with a repeated chunk', [chunk(0), chunk(0), answer], false],
	['that is truncated', [chunk(0), chunk(1)], false],
	['with two final events', [chunk(0), answer, answer], false],
])('a stream %s is checked for completeness', async (_name, parts, isComplete) => {
	const result = await readAnswerStream(bytes(...parts), () => undefined);
	expect(result.isComplete).toBe(isComplete);
});
