import {once} from 'node:events';
import {z} from 'zod';
import {SystemClock} from '../clock/index.js';
import {EntryVm, policyNames} from '../entry-vm/index.js';
import {createLoggerFactory, logLevels} from '../logging/index.js';
import {HttpPlatformLog} from '../platform-log/index.js';
import {HttpVmList} from '../vms/index.js';
import {
	listenAddressSchema, nameSchema, numberSchema, originSchema, resolveSettings,
} from '../settings/index.js';
import {exitCodes, type Command} from './command.js';
import {linkSettings, readLinkSettings} from './link-settings.js';

/** Settings of `guavamill serve`. */
export const serveSettings = {
	name: {flag: 'name', help: 'Name of this entry VM.', schema: nameSchema},
	zone: {flag: 'zone', help: 'Availability zone of this entry VM.', schema: nameSchema},
	callers: {
		flag: 'callers', help: 'Address to listen on for callers, IP:port.', fallback: '127.0.0.1:7000', schema: listenAddressSchema,
	},
	operators: {
		flag: 'operators', help: 'Address to listen on for operators, IP:port.', fallback: '127.0.0.1:7001', schema: listenAddressSchema,
	},
	log: {flag: 'log', help: 'Origin of the platform\'s log.', schema: originSchema},
	vms: {flag: 'vms', help: 'Origin of the platform\'s VM list.', schema: originSchema},
	maxBodyBytes: {
		flag: 'max-body-bytes', help: 'Maximum size of a request body, in bytes.', fallback: '1048576', schema: numberSchema(1024, 67_108_864),
	},
	eventCapacity: {
		flag: 'event-capacity', help: 'Maximum number of events kept for the timeline.', fallback: '20000', schema: numberSchema(100, 1_000_000),
	},
	weightGbPerSecond: {
		flag: 'weight-gb-per-second', help: 'Maximum rate at which orders may load model weights from the weight store, in GB per second.', fallback: '2', schema: numberSchema(0.001, 1000),
	},
	configSnapshotMs: {
		flag: 'config-snapshot-ms', help: 'Interval between configuration snapshots, in ms; at most a third of the log\'s retention.', fallback: '600000', schema: numberSchema(100, 1e12),
	},
	claimMaxLifeMs: {
		flag: 'claim-max-life-ms', help: 'Maximum time until the not-after time of an idempotency key, in ms; at most half of the log\'s retention.', fallback: '900000', schema: numberSchema(1000, 86_400_000),
	},
	policy: {
		flag: 'policy', help: `Policy for queueing and routing requests: ${policyNames.join(', ')}.`, fallback: 'fair', schema: z.enum(policyNames),
	},
	logLevel: {
		flag: 'log-level', help: `Minimum log level: ${logLevels.join(', ')}.`, fallback: 'info', schema: z.enum(logLevels),
	},
	...linkSettings,
	wallSkewMs: {
		flag: 'wall-skew-ms', help: 'Offset added to the wall clock, for tests, in ms.', fallback: '0', schema: numberSchema(-3_600_000, 3_600_000),
	},
};

/** `guavamill serve`: runs the daemon of an entry VM. */
export const serveCommand: Command = {
	name: 'serve',
	usage: 'guavamill serve --name riga-1 --zone riga-a --log http://127.0.0.1:7100 --vms http://127.0.0.1:7101',
	summary: 'Runs an entry VM until SIGTERM or SIGINT, then drains.',
	settings: serveSettings,
	maxArgs: 0,
	async run(input) {
		const settings = resolveSettings(serveSettings, input);
		const clock = SystemClock.create({skew: settings.wallSkewMs});
		const vm = await EntryVm.create({
			...settings,
			links: readLinkSettings(settings),
			clock,
			log: HttpPlatformLog.create(settings.log),
			vmList: HttpVmList.create(settings.vms),
			createLogger: createLoggerFactory({process: settings.name, level: settings.logLevel}),
		});
		input.print(JSON.stringify({
			listening: {callers: vm.callerPort, operators: vm.operatorPort, ...(vm.mesh ? {links: vm.mesh.port} : {})}, incarnation: vm.incarnation,
		}));
		// The shutdown is requested by a signal or by an operator's Drain call.
		await Promise.race([input.stopRequested, once(vm.stopping, 'abort')]);
		await vm.shutdown();
		return exitCodes.ok;
	},
};
