import type {RequestResult} from '../requests/index.js';

/** What the stream of one answer held. @internal */
export type StreamResult = {
	/** `undefined` when the stream ended without `answer` or `error`. */
	readonly result: RequestResult | undefined;
	/** False when chunks were missing, repeated or out of order, or more than one final event came. */
	readonly isWhole: boolean;
};

/** Reads server-sent events; `onChunks` is told the number of chunks that arrived together. @internal */
export async function readAnswerStream(body: AsyncIterable<Uint8Array>, onChunks: (count: number) => void): Promise<StreamResult> {
	const decoder = new TextDecoder();
	let rest = '';
	let nextIndex = 0;
	let finals = 0;
	let isOrdered = true;
	let result: RequestResult | undefined;
	for await (const bytes of body) {
		const events = (rest + decoder.decode(bytes, {stream: true})).split('\n\n');
		rest = events.pop()!;
		let count = 0;
		for (const event of events) {
			const {type, data} = parseEvent(event);
			if (type === 'chunk') {
				isOrdered &&= (JSON.parse(data) as {index: number}).index === nextIndex;
				nextIndex++;
				count++;
			} else if (type === 'answer' || type === 'error') {
				finals++;
				result = JSON.parse(data) as RequestResult;
			}
		}

		if (count > 0) {
			onChunks(count);
		}
	}

	return {result, isWhole: isOrdered && finals === 1};
}

function parseEvent(text: string): {type: string; data: string} {
	const lines = text.split('\n');
	const field = (name: string) => lines.find(line => line.startsWith(`${name}: `))?.slice(name.length + 2) ?? '';
	return {type: field('event'), data: field('data')};
}
