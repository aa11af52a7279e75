import type {Ms} from '../clock/index.js';
import {Random} from '../random/index.js';
import {createDeployment, type Deployment} from './deployment.js';
import {
	traceFaultSchema, traceHeaderSchema, traceRequestSchema, type DeploymentName, type Trace, type TraceFault, type TraceRequest, type TraceSegment,
} from './trace.js';

/** Names of the traces that `makeTrace` generates. */
export const traceNames = [
	'steady', 'burst', 'alone', 'slow-stage', 'engine-dies', 'engine-freezes', 'engine-drains', 'zone-cut', 'fresh-load', 'stale-load', 'cache-gaps', 'shared-prefix', 'cross-region',
] as const;

/** Name of a generated trace. */
export type TraceName = typeof traceNames[number];

/** Options of `makeTrace`. */
export interface MakeTraceOptions {
	readonly name: TraceName;
	readonly deployment: DeploymentName;
	readonly seed: number;
	/** Time during which requests arrive. */
	readonly durationMs?: Ms;
	/** Factor applied to every arrival rate. */
	readonly rate?: number;
}

type ArrivalProcess = {team: string; ratePerSecond: number; fromMs: Ms; untilMs: Ms; zones?: readonly string[]};

const defaultDurationMs: Ms = 48_000;
const deadlineMs: Ms = 9000;
const smallTeamRatePerSecond = 4;
const mediumTeamRatePerSecond = 4;
const largeTeamRatePerSecond = 11;
const burstRateFactor = 10;
/** Arrival rate relative to `steady` when all requests enter at one zone. */
const singleZoneRateFactor = 1;
/** Arrival rate relative to `steady` in the traces that compare fresh and stale load reports. */
const highLoadRateFactor = 1.5;
/** Share of requests that use the booking pipeline. */
const bookingShare = 0.1;
/** Share of booking requests that the caller sends a second time, at a random entry VM. */
const retryShare = 0.2;
const retryDelayMs: Ms = 400;
const cacheTokens = 16_000;
const smallCacheTokens = 12_000;
const documentsPerTeam = 4;
const sharedPrefixDocumentsPerTeam = 8;

/**
 * Generates a seeded trace for one of the reference deployments.
 *
 * @example
 * const trace = makeTrace({name: 'burst', deployment: 'die-works', seed: 1});
 */
export function makeTrace(options: MakeTraceOptions): Trace {
	const deployment = createDeployment(options.deployment);
	const durationMs = options.durationMs ?? defaultDurationMs;
	const random = Random.create(options.seed);
	const requests = createArrivalProcesses(options.name, deployment, durationMs)
		.flatMap((arrivalProcess, index) => makeRequests({...arrivalProcess, ratePerSecond: arrivalProcess.ratePerSecond * (options.rate ?? 1)}, {
			deployment, name: options.name, random: Random.create(random.integer(1, 1_000_000_000) + index), idPrefix: `f${index}`, seed: options.seed,
		}))
		.sort((left, right) => left.at_ms - right.at_ms);
	return {
		header: traceHeaderSchema.parse({
			type: 'header',
			name: options.name,
			seed: options.seed,
			deployment: options.deployment,
			duration_ms: durationMs,
			cache_tokens: options.name === 'shared-prefix' ? smallCacheTokens : cacheTokens,
			outcomes: {min_attainment: {[deployment.roles.small]: options.name === 'zone-cut' ? 0.95 : 0.99}, max_late: 0.005},
		}),
		requests,
		faults: createFaults(options.name, deployment, durationMs),
	};
}

/**
 * Returns the arrival processes of a trace. That of the small team comes first, so that its arrivals are the same in
 * `alone` and `burst`. `fresh-load` has the arrivals of `stale-load` and serves as its baseline.
 */
function createArrivalProcesses(name: TraceName, deployment: Deployment, durationMs: Ms): ArrivalProcess[] {
	const {small, medium, large} = deployment.roles;
	const span = {fromMs: 0, untilMs: durationMs};
	const smallTeamProcess: ArrivalProcess = {team: small, ratePerSecond: smallTeamRatePerSecond, ...span};
	if (name === 'alone') {
		return [smallTeamProcess];
	}

	const processes: ArrivalProcess[] = [
		smallTeamProcess,
		...medium.map(team => ({team, ratePerSecond: mediumTeamRatePerSecond, ...span})),
		...large.map(team => ({team, ratePerSecond: largeTeamRatePerSecond, ...span})),
	];
	if (name === 'burst') {
		processes.push({
			team: large[0]!, ratePerSecond: largeTeamRatePerSecond * (burstRateFactor - 1), fromMs: durationMs / 6, untilMs: durationMs * 2 / 3,
		});
	}

	if (name === 'cross-region') {
		const zones = [deployment.entryVms[0]!.zone];
		return processes.map(arrivalProcess => ({...arrivalProcess, zones, ratePerSecond: arrivalProcess.ratePerSecond * (arrivalProcess.team === small ? 1 : singleZoneRateFactor)}));
	}

	if (name === 'fresh-load' || name === 'stale-load') {
		return processes.map(arrivalProcess => ({...arrivalProcess, ratePerSecond: arrivalProcess.ratePerSecond * (arrivalProcess.team === small ? 1 : highLoadRateFactor)}));
	}

	return processes;
}

type ProcessContext = {deployment: Deployment; name: TraceName; random: Random; idPrefix: string; seed: number};

function makeRequests(arrivalProcess: ArrivalProcess, context: ProcessContext): TraceRequest[] {
	const {deployment, random} = context;
	const vms = deployment.entryVms.filter(vm => arrivalProcess.zones?.includes(vm.zone) ?? true);
	const requests: TraceRequest[] = [];
	const meanInterArrivalMs = 1000 / arrivalProcess.ratePerSecond;
	for (let at = arrivalProcess.fromMs + random.exponential(meanInterArrivalMs); at < arrivalProcess.untilMs; at += random.exponential(meanInterArrivalMs)) {
		const id = `${context.idPrefix}-${requests.length}`;
		const isBooking = random.chance(bookingShare);
		const request = traceRequestSchema.parse({
			type: 'request',
			id,
			at_ms: Math.round(at * 10) / 10,
			entry_vm: random.pick(vms).name,
			team: arrivalProcess.team,
			pipeline: isBooking ? deployment.bookingPipeline : random.pick(deployment.idempotentPipelines),
			segments: createSegments(arrivalProcess.team, id, context),
			max_tokens: random.integer(32, 112),
			deadline_ms: deadlineMs,
			...(isBooking ? {key: `${context.idPrefix}-${context.seed}-${id}`} : {}),
			expect: context.name === 'burst' && arrivalProcess.team !== deployment.roles.small ? 'any' : 'answer',
		});
		requests.push(request);
		if (isBooking && random.chance(retryShare)) {
			requests.push({
				...request, id: `${id}-again`, at_ms: request.at_ms + retryDelayMs, entry_vm: random.pick(vms).name, attempt: 2,
			});
		}
	}

	return requests;
}

/** Returns a prompt of a prefix shared by the team, one of the team's documents and a question unique to the request. */
function createSegments(team: string, id: string, {name, random}: ProcessContext): TraceSegment[] {
	const hasLongDocuments = name === 'shared-prefix';
	const documentNumber = random.integer(1, hasLongDocuments ? sharedPrefixDocumentsPerTeam : documentsPerTeam);
	return [
		{id: `${team}-rules`, tokens: 600},
		{id: `${team}-archive-${documentNumber}`, tokens: hasLongDocuments ? 3200 : 1400},
		{id: `question-${id}`, tokens: random.integer(30, 160)},
	];
}

function createFaults(name: TraceName, deployment: Deployment, durationMs: Ms): TraceFault[] {
	const engine = `${deployment.mainPool}-1`;
	const span = {at_ms: durationMs / 4, until_ms: durationMs * 3 / 4};
	const entireReplay = {at_ms: 0, until_ms: durationMs * 2};
	const byName: Partial<Record<TraceName, Array<Partial<TraceFault>>>> = {
		'slow-stage': [{
			...span, scope: 'pool', name: deployment.slowPool, fault: 'slow', value: 500,
		}],
		'engine-dies': [{
			...span, scope: 'target', name: engine, fault: 'dead',
		}],
		'engine-freezes': [
			{
				...span, scope: 'target', name: engine, fault: 'half_open',
			},
			{
				...span, at_ms: durationMs / 2, scope: 'target', name: `${deployment.mainPool}-2`, fault: 'stuck',
			},
		],
		'engine-drains': [{
			...span, scope: 'target', name: engine, fault: 'draining',
		}],
		'zone-cut': [{
			...span, scope: 'zone', name: deployment.entryVms.at(-1)!.zone, fault: 'zone_cut',
		}],
		'stale-load': [{
			...entireReplay, scope: 'all', fault: 'load_lag', value: 2000,
		}],
		'cache-gaps': [
			{
				...entireReplay, scope: 'all', fault: 'cache_event_gaps', value: 0.2,
			},
			{
				...entireReplay, scope: 'all', fault: 'cache_event_lag', value: 1500,
			},
		],
	};
	return (byName[name] ?? []).map(fault => traceFaultSchema.parse({type: 'fault', ...fault}));
}
