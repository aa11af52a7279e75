import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {sampleDeclarations} from '../src/cli/sample.js';
import {expectedAnswer} from '../src/stand-ins/index.js';
import {Fleet, pipelineUrl, post} from './support/fleet.js';

let fleet: Fleet;

beforeAll(async () => {
	fleet = await Fleet.start();
	const [encoder, retriever, reranker, engine] = await Promise.all([
		fleet.startTarget('encoder', 'service'),
		fleet.startTarget('retriever', 'service'),
		fleet.startTarget('reranker', 'service'),
		fleet.startTarget('engine', 'engine'),
	]);
	await fleet.publish(sampleDeclarations({
		encoder: encoder.origin, retriever: retriever.origin, reranker: reranker.origin, engine: engine.origin,
	}));
	await Promise.all(['vm-1', 'vm-2', 'vm-3'].map(name => fleet.startEntryVm(name, 'sample-a')));
	await fleet.untilReady();
});

afterAll(async () => {
	await fleet.close();
});

// Guards against answers that are lost, truncated or swapped between requests when the stages run in separate processes.
test('each entry VM gives complete answers to concurrent requests', async () => {
	const calls = fleet.entryVms.flatMap(vm => Array.from({length: 20}, (_, index) => ({vm, text: `question ${index}`})));
	await Promise.all(calls.map(async ({vm, text}) => {
		const {status, body} = await post(pipelineUrl(vm, 'advice'), {team: 'apprentices', input: {text}, max_tokens: 24});
		expect(status).toBe(200);
		expect(body.answer).toBe(expectedAnswer([{kind: 'encode'}, {kind: 'retrieve'}, {kind: 'rerank'}, {kind: 'generate', maxTokens: 24}], [text]));
	}));
});

// Guards against rejections without an outcome or a reason.
test.each([
	['advice', {team: 'apprentices'}, 400, 'bad_request'],
	['advice', {team: 'nobody', input: {text: 'x'}}, 403, 'unknown_team'],
	['nothing', {team: 'apprentices', input: {text: 'x'}}, 404, 'unknown_pipeline'],
	['advice', {team: 'apprentices', input: {text: 'x'}, deadline_ms: -5}, 400, 'bad_request'],
	['advice', {team: 'apprentices', input: {text: 'x'.repeat(2_000_000)}}, 413, 'body_too_large'],
])('a bad request to %s is rejected as not run', async (pipeline, body, status, reason) => {
	const result = await post(pipelineUrl(fleet.entryVms[0]!, pipeline), body);
	expect(result.status).toBe(status);
	expect(result.body).toMatchObject({outcome: 'not_run', reason});
});
