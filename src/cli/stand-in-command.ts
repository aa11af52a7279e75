import {randomUUID} from 'node:crypto';
import {SystemClock} from '../clock/index.js';
import {FindingsError} from '../errors/index.js';
import {
	listenAddressSchema, numberSchema, resolveSettings, booleanSchema, textSchema,
} from '../settings/index.js';
import {
	EngineStandIn, LogStandIn, PlatformStandIn, ServiceStandIn,
} from '../stand-ins/index.js';
import {exitCodes, type Command} from './command.js';

/** Settings of `guavamill stand-in`. */
export const standInSettings = {
	listen: {
		flag: 'listen', help: 'Address to serve on, IP:port.', fallback: '127.0.0.1:0', schema: listenAddressSchema,
	},
	startId: {
		flag: 'start-id', help: 'Start id of a target; random when empty.', fallback: '', schema: textSchema,
	},
	slots: {
		flag: 'slots', help: 'Calls that a target serves at once.', fallback: '8', schema: numberSchema(1, 10_000),
	},
	serviceMs: {
		flag: 'service-ms', help: 'Time of a service\'s call in ms.', fallback: '0', schema: numberSchema(0, 600_000),
	},
	prefillMs: {
		flag: 'prefill-ms-per-token', help: 'Time of an engine for one uncached prompt token in ms.', fallback: '0', schema: numberSchema(0, 1000),
	},
	decodeMs: {
		flag: 'decode-ms-per-token', help: 'Time of one decoding step of an engine in ms.', fallback: '0', schema: numberSchema(0, 10_000),
	},
	cacheTokens: {
		flag: 'cache-tokens', help: 'Size of an engine\'s prefix cache in tokens.', fallback: '20000', schema: numberSchema(0, 100_000_000),
	},
	checksFencing: {
		flag: 'checks-fencing', help: 'The engine refuses old fencing numbers.', fallback: 'false', schema: booleanSchema, isBoolean: true,
	},
	retentionMs: {
		flag: 'retention-ms', help: 'Time that the log keeps records, in ms.', fallback: '3600000', schema: numberSchema(100, 1e12),
	},
	lagMs: {
		flag: 'lag-ms', help: 'Lag of the VM list in ms.', fallback: '0', schema: numberSchema(0, 600_000),
	},
	seed: {
		flag: 'seed', help: 'Seed of an engine\'s random faults.', fallback: '1', schema: numberSchema(0, 4_294_967_295),
	},
};

/** `guavamill stand-in`: a small stand-in for a part outside the system. */
export const standInCommand: Command = {
	name: 'stand-in',
	usage: 'guavamill stand-in engine|service|log|platform --listen 127.0.0.1:7201',
	summary: 'Runs a stand-in for an engine, a service, the log or the VM list. POST /faults asks for faults.',
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
		await input.stopped;
		await standIn.close();
		return exitCodes.ok;
	},
};
