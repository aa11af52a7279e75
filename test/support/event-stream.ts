import {request} from 'undici';

/** Server-sent event with its data parsed as JSON. */
export interface StreamEvent {
	readonly event: string;
	readonly data: any;
}

/** Sends a request for a streamed answer; calls `onEvent` for each event and resolves with all events. */
export async function streamEvents(url: string, body: Record<string, unknown>, onEvent: (event: StreamEvent) => void = () => undefined): Promise<StreamEvent[]> {
	const res = await request(url, {method: 'POST', body: JSON.stringify({...body, stream: true}), bodyTimeout: 60_000});
	const events: StreamEvent[] = [];
	if (res.statusCode !== 200) {
		// A request rejected before its stream begins gets a JSON response with an error status.
		return [{event: 'error', data: await res.body.json()}];
	}

	let rest = '';
	for await (const bytes of res.body.setEncoding('utf8')) {
		const parts = (rest + String(bytes)).split('\n\n');
		rest = parts.pop()!;
		for (const part of parts) {
			const [name, data] = part.split('\n');
			const event = {event: name!.slice('event: '.length), data: JSON.parse(data!.slice('data: '.length))};
			events.push(event);
			onEvent(event);
		}
	}

	return events;
}

/** Returns the concatenated text of the chunk events; throws if an index is missing, repeated or out of order. */
export function streamedText(events: readonly StreamEvent[]): string {
	const chunks = events.filter(event => event.event === 'chunk');
	for (const [index, chunk] of chunks.entries()) {
		if (chunk.data.index !== index) {
			throw new Error(`Cannot read the stream: chunk ${chunk.data.index} at position ${index}`);
		}
	}

	return chunks.map(chunk => chunk.data.text as string).join('');
}
