import {randomUUID} from 'node:crypto';
import {SystemClock} from '../clock/index.js';
import {FindingsError} from '../errors/index.js';
import {
	booleanSchema, listenAddressSchema, numberSchema, resolveSettings, textSchema,
} from '../settings/index.js';
import {
	EngineStandIn, LogStandIn, PlatformStandIn, ServiceStandIn,
} from '../stand-ins/index.js';
import {exitCodes, type Command} from './command.js';

/** Settings of `guavamill stand-in`. */
export const standInSettings = {
	listen: {
		flag: 'listen', help: 'Address to listen on, IP:port.', fallback: '127.0.0.1:0', schema: listenAddressSchema,
	},
	startId: {
		flag: 'start-id', help: 'Start id of a target; random when empty.', fallback: '', schema: textSchema,
	},
	slots: {
		flag: 'slots', help: 'Maximum number of concurrent calls of a target.', fallback: '8', schema: numberSchema(1, 10_000),
	},
	serviceMs: {
		flag: 'service-ms', help: 'Duration of a service call, in ms.', fallback: '0', schema: numberSchema(0, 600_000),
	},
	prefillMs: {
		flag: 'prefill-ms-per-token', help: 'Prefill time of an engine per uncached prompt token, in ms.', fallback: '0', schema: numberSchema(0, 1000),
	},
	decodeMs: {
		flag: 'decode-ms-per-token', help: 'Duration of a decoding step of an engine, in ms.', fallback: '0', schema: numberSchema(0, 10_000),
	},
	cacheTokens: {
		flag: 'cache-tokens', help: 'Size of the prefix cache of an engine, in tokens.', fallback: '20000', schema: numberSchema(0, 100_000_000),
	},
	checksFencing: {
		flag: 'checks-fencing', help: 'The engine refuses orders with outdated fencing numbers.', fallback: 'false', schema: booleanSchema, isBoolean: true,
	},
	retentionMs: {
		flag: 'retention-ms', help: 'Retention time of records in the log, in ms.', fallback: '3600000', schema: numberSchema(100, 1e12),
	},
	lagMs: {
		flag: 'lag-ms', help: 'Delay before changes appear in the VM list, in ms.', fallback: '0', schema: numberSchema(0, 600_000),
	},
	seed: {
		flag: 'seed', help: 'Seed for the random faults of an engine.', fallback: '1', schema: numberSchema(0, 4_294_967_295),
	},
};

/** `guavamill stand-in`: runs a stand-in for an external component. */
export const standInCommand: Command = {
	name: 'stand-in',
	usage: 'guavamill stand-in engine|service|log|platform --listen 127.0.0.1:7201',
	summary: 'Runs a stand-in for an engine, a service, the log or the VM list. POST /faults injects faults.',
	settings: standInSettings,
	maxArgs: 1,
	async run(input) {
		const settings = resolveSettings(standInSettings, input);
		const clock = SystemClock.create();
		const target = {
			clock, listen: settings.listen, startId: settings.startId === '' ? randomUUID() : settings.startId, slots: settings.slots,
		};
		const create = async () => {
			switch (input.args[0]) {
				case 'engine': {
					return EngineStandIn.create({
						...target, prefillMsPerToken: settings.prefillMs, decodeMsPerToken: settings.decodeMs, cacheTokens: settings.cacheTokens, checksFencing: settings.checksFencing, seed: settings.seed,
					});
				}

				case 'service': {
					return ServiceStandIn.create({...target, serviceMs: settings.serviceMs});
				}

				case 'log': {
					return LogStandIn.create({clock, listen: settings.listen, retentionMs: settings.retentionMs});
				}

				case 'platform': {
					return PlatformStandIn.create({clock, listen: settings.listen, lagMs: settings.lagMs});
				}

				default: {
					throw FindingsError.create('start a stand-in', [{place: 'argument 1', message: 'is not engine, service, log or platform', value: String(input.args[0])}]);
				}
			}
		};

		const standIn = await create();
		input.print(JSON.stringify({listening: standIn.origin, startId: target.startId}));
		await input.stopRequested;
		await standIn.close();
		return exitCodes.ok;
	},
};
