import {request} from 'undici';

/** One server-sent event. */
export interface StreamEvent {
	readonly event: string;
	readonly data: any;
}

/** Sends a request with a streamed answer; calls `onEvent` for each event and resolves with all of them. */
export async function streamEvents(url: string, body: Record<string, unknown>, onEvent: (event: StreamEvent) => void = () => undefined): Promise<StreamEvent[]> {
	const res = await request(url, {method: 'POST', body: JSON.stringify({...body, stream: true}), bodyTimeout: 60_000});
	const events: StreamEvent[] = [];
	if (res.statusCode !== 200) {
		// A request that is rejected before its stream begins is answered in JSON, with its status.
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

/** Text of the chunk events; throws when an index is missing or repeated. */
export function streamedText(events: readonly StreamEvent[]): string {
	const chunks = events.filter(event => event.event === 'chunk');
	for (const [index, chunk] of chunks.entries()) {
		if (chunk.data.index !== index) {
			throw new Error(`Cannot read the stream: index ${chunk.data.index} at place ${index}`);
		}
	}

	return chunks.map(chunk => chunk.data.text as string).join('');
}
