import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {SystemClock} from '../clock/index.js';
import {EntryVm} from '../entry-vm/index.js';
import {formatTimeline} from '../events/index.js';
import {createLoggerFactory} from '../logging/index.js';
import {HttpPlatformLog} from '../platform-log/index.js';
import {HttpVmList} from '../vms/index.js';
import type {Answer} from '../requests/index.js';
import {booleanSchema, listenAddressSchema, resolveSettings} from '../settings/index.js';
import {
	EngineStandIn, expectedAnswer, LogStandIn, PlatformStandIn, ServiceStandIn,
} from '../stand-ins/index.js';
import {exitCodes, type Command, type CommandInput} from './command.js';
import {sampleDeclarations} from './sample.js';

const ephemeralAddress = {host: '127.0.0.1', port: 0};
const readyPollIntervalMs = 20;
const sampleText = 'How do I bevel the edge of a guanacaste inlay?';
const sampleMaxTokens = 16;

/** Settings of `guavamill sample`. */
export const sampleSettings = {
	exit: {
		flag: 'exit', help: 'Exits after the sample request.', fallback: 'false', schema: booleanSchema, isBoolean: true,
	},
	callers: {
		flag: 'callers', help: 'Address to listen on for callers, IP:port.', fallback: '127.0.0.1:0', schema: listenAddressSchema,
	},
};

/** `guavamill sample`: runs a pipeline of four stages with embedded stand-ins in one process. */
export const sampleCommand: Command = {
	name: 'sample',
	usage: 'guavamill sample [--exit]',
	summary: 'Serves a sample pipeline with embedded stand-ins, sends one request and prints its answer and timeline.',
	settings: sampleSettings,
	maxArgs: 0,
	async run(input) {
		const settings = resolveSettings(sampleSettings, input);
		const clock = SystemClock.create();
		const log = await LogStandIn.create({clock, listen: ephemeralAddress});
		const platform = await PlatformStandIn.create({clock, listen: ephemeralAddress});
		const service = async () => ServiceStandIn.create({
			clock, listen: ephemeralAddress, startId: randomUUID(), serviceMs: 5,
		});
		const [encoder, retriever, reranker] = [await service(), await service(), await service()];
		const engine = await EngineStandIn.create({
			clock, listen: ephemeralAddress, startId: randomUUID(), decodeMsPerToken: 10, prefillMsPerToken: 0.05,
		});
		await log.log.append('config', [{
			kind: 'change',
			id: randomUUID(),
			base: -1,
			author: 'sample',
			set: sampleDeclarations({
				encoder: encoder.origin, retriever: retriever.origin, reranker: reranker.origin, engine: engine.origin,
			}),
		}]);
		const vm = await EntryVm.create({
			name: 'sample-1',
			zone: 'sample-a',
			callers: settings.callers,
			operators: ephemeralAddress,
			maxBodyBytes: 1_048_576,
			eventCapacity: 20_000,
			weightGbPerSecond: 2,
			clock,
			log: HttpPlatformLog.create(log.origin),
			vmList: HttpVmList.create(platform.origin),
			createLogger: createLoggerFactory({process: 'sample-1', level: 'warn'}),
		});
		const origin = `http://${settings.callers.host}:${vm.callerPort}`;
		const isCorrect = await runSampleRequest(vm, origin, input.print);
		if (!settings.exit) {
			input.print('');
			input.print('Serving until Ctrl-C. Call it with:');
			input.print(`  curl -N ${origin}/v1/pipelines/advice/requests -d '{"team":"apprentices","input":{"text":"${sampleText}"},"stream":true}'`);
			input.print(`Metrics: http://127.0.0.1:${vm.operatorPort}/metrics`);
			await input.stopRequested;
		}

		await vm.shutdown();
		await Promise.all([log, platform, encoder, retriever, reranker, engine].map(async component => component.close()));
		return isCorrect ? exitCodes.ok : exitCodes.failed;
	},
};

async function runSampleRequest(vm: EntryVm, origin: string, print: CommandInput['print']): Promise<boolean> {
	const start = vm.events.recorded;
	while (vm.config.current().revision < 0) {
		await sleep(readyPollIntervalMs);
	}

	const res = await request(`${origin}/v1/pipelines/advice/requests`, {
		method: 'POST', body: JSON.stringify({team: 'apprentices', input: {text: sampleText}, max_tokens: sampleMaxTokens}),
	});
	const answer = await res.body.json() as Answer;
	print(`Status ${res.statusCode}, answer:`);
	print(JSON.stringify(answer, undefined, 2));
	print('Timeline:');
	for (const line of formatTimeline(vm.events.select({requestId: answer.request_id}))) {
		print(`  ${line}`);
	}

	const expected = expectedAnswer([{kind: 'encode'}, {kind: 'retrieve'}, {kind: 'rerank'}, {kind: 'generate', maxTokens: sampleMaxTokens}], [sampleText]);
	const isCorrect = res.statusCode === 200 && answer.answer === expected && vm.events.recorded > start;
	print(isCorrect ? 'The answer is complete and correct.' : 'The answer is incorrect.');
	return isCorrect;
}
