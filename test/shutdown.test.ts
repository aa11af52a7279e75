import {setTimeout as sleep} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {request} from 'undici';
import {streamedText, streamEvents} from './support/event-stream.js';
import {pipelineUrl, post, until} from './support/fleet.js';
import {expectedSampleAnswer, startSampleFleet} from './support/sample-fleet.js';

const tokens = 200;

// Guards against a graceful shutdown that aborts requests in progress, also when the signal is repeated.
test('a shutdown under streaming load completes every request in progress', async () => {
	const fleet = await startSampleFleet({entryVms: 1, engineFlags: ['--decode-ms-per-token', '5', '--slots', '16']});
	try {
		const [vm] = fleet.entryVms;
		const url = pipelineUrl(vm!, 'advice');
		let started = 0;
		const calls = Array.from({length: 16}, async (_, index) => {
			const events = await streamEvents(url, {team: 'apprentices', input: {text: `question ${index}`}, max_tokens: tokens}, event => {
				started += event.event === 'chunk' && event.data.index === 0 ? 1 : 0;
			});
			expect(streamedText(events)).toBe(expectedSampleAnswer(`question ${index}`, tokens));
			expect(events.at(-1)!.event).toBe('answer');
		});
		const plain = post(url, {team: 'apprentices', input: {text: 'plain'}, max_tokens: tokens});
		await until(() => started >= 10, '10 streams to start');
		const stopped = vm!.stop();
		await sleep(100);
		vm!.child.kill('SIGTERM');
		vm!.child.kill('SIGINT');
		// New requests are refused, either with a `not_run` answer or because the port is closed.
		const late = await request(url, {method: 'POST', body: JSON.stringify({team: 'apprentices', input: {text: 'late'}})}).catch(() => undefined);
		if (late) {
			expect(await late.body.json()).toMatchObject({outcome: 'not_run', reason: 'shutting_down'});
		}

		await Promise.all(calls);
		expect((await plain).body.answer).toBe(expectedSampleAnswer('plain', tokens));
		expect(await stopped).toBe(0);
	} finally {
		await fleet.close();
	}
});
