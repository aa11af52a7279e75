import type {RequestResult} from '../requests/index.js';

/** Contents of one answer stream. @internal */
export type StreamResult = {
	/** `undefined` when the stream ended without an `answer` or `error` event. */
	readonly result: RequestResult | undefined;
	/** False when chunks were missing, repeated or out of order, or when there was not exactly one final event. */
	readonly isComplete: boolean;
};

/** Reads an answer from server-sent events. Calls `onChunks` with the number of chunks in each read from the body. @internal */
export async function readAnswerStream(body: AsyncIterable<Uint8Array>, onChunks: (count: number) => void): Promise<StreamResult> {
	const decoder = new TextDecoder();
	let buffer = '';
	let nextIndex = 0;
	let finalEventCount = 0;
	let isOrdered = true;
	let result: RequestResult | undefined;
	for await (const bytes of body) {
		const events = (buffer + decoder.decode(bytes, {stream: true})).split('\n\n');
		buffer = events.pop()!;
		let count = 0;
		for (const event of events) {
			const {type, data} = parseEvent(event);
			if (type === 'chunk') {
				isOrdered &&= (JSON.parse(data) as {index: number}).index === nextIndex;
				nextIndex++;
				count++;
			} else if (type === 'answer' || type === 'error') {
				finalEventCount++;
				result = JSON.parse(data) as RequestResult;
			}
		}

		if (count > 0) {
			onChunks(count);
		}
	}

	return {result, isComplete: isOrdered && finalEventCount === 1};
}

function parseEvent(text: string): {type: string; data: string} {
	const lines = text.split('\n');
	const field = (name: string) => lines.find(line => line.startsWith(`${name}: `))?.slice(name.length + 2) ?? '';
	return {type: field('event'), data: field('data')};
}
