import type {Ms} from '../clock/index.js';
import {Random} from '../random/index.js';
import {createDeployment, type Deployment} from './deployment.js';
import {
	traceFaultSchema, traceHeaderSchema, traceRequestSchema, type DeploymentName, type Trace, type TraceFault, type TraceRequest, type TraceSegment,
} from './trace.js';

/** Names of the traces that `makeTrace` makes. */
export const traceNames = [
	'steady', 'burst', 'alone', 'slow-stage', 'engine-dies', 'engine-freezes', 'engine-drains', 'zone-cut', 'fresh-load', 'stale-load', 'cache-gaps', 'shared-prefix', 'cross-region',
] as const;

export type TraceName = typeof traceNames[number];

/** What to make. */
export interface MakeTraceOptions {
	readonly name: TraceName;
	readonly deployment: DeploymentName;
	readonly seed: number;
	/** Time during which requests arrive. */
	readonly durationMs?: Ms;
	/** Factor on every arrival rate. */
	readonly rate?: number;
}

type Flow = {team: string; perSecond: number; fromMs: Ms; untilMs: Ms; zones?: readonly string[]};

const defaultDurationMs: Ms = 48_000;
const deadlineMs: Ms = 9000;
const smallPerSecond = 4;
const middlePerSecond = 4;
const largePerSecond = 11;
const burstFactor = 10;
/** Arrivals relative to `steady` where all come in at one zone, and where load reports matter. */
const oneZoneFactor = 1;
const highLoadFactor = 1.5;
/** Share of requests that book, and of those that their caller sends a second time at another entry VM. */
const bookingShare = 0.1;
const repeatShare = 0.2;
const repeatAfterMs: Ms = 400;
const cacheTokens = 16_000;
const smallCacheTokens = 12_000;
const archivesPerTeam = 4;
const sharedPrefixArchives = 8;

/**
 * Makes a seeded trace for one of the deployments of the design page.
 *
 * @example
 * const trace = makeTrace({name: 'burst', deployment: 'die-works', seed: 1});
 */
export function makeTrace(options: MakeTraceOptions): Trace {
	const deployment = createDeployment(options.deployment);
	const durationMs = options.durationMs ?? defaultDurationMs;
	const random = Random.create(options.seed);
	const requests = flowsOf(options.name, deployment, durationMs)
		.flatMap((flow, index) => makeRequests({...flow, perSecond: flow.perSecond * (options.rate ?? 1)}, {
			deployment, name: options.name, random: Random.create(random.integer(1, 1_000_000_000) + index), prefix: `f${index}`, seed: options.seed,
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
		faults: faultsOf(options.name, deployment, durationMs),
	};
}

/** The small team's flow comes first and has the same arrivals in `alone` and `burst`; `fresh-load` is the reference of `stale-load`. */
function flowsOf(name: TraceName, deployment: Deployment, durationMs: Ms): Flow[] {
	const {small, middle, large} = deployment.roles;
	const span = {fromMs: 0, untilMs: durationMs};
	const smallFlow: Flow = {team: small, perSecond: smallPerSecond, ...span};
	if (name === 'alone') {
		return [smallFlow];
	}

	const flows: Flow[] = [
		smallFlow,
		...middle.map(team => ({team, perSecond: middlePerSecond, ...span})),
		...large.map(team => ({team, perSecond: largePerSecond, ...span})),
	];
	if (name === 'burst') {
		flows.push({
			team: large[0]!, perSecond: largePerSecond * (burstFactor - 1), fromMs: durationMs / 6, untilMs: durationMs * 2 / 3,
		});
	}

	if (name === 'cross-region') {
		const zones = [deployment.entryVms[0]!.zone];
		return flows.map(flow => ({...flow, zones, perSecond: flow.perSecond * (flow.team === small ? 1 : oneZoneFactor)}));
	}

	if (name === 'fresh-load' || name === 'stale-load') {
		return flows.map(flow => ({...flow, perSecond: flow.perSecond * (flow.team === small ? 1 : highLoadFactor)}));
	}

	return flows;
}

type FlowContext = {deployment: Deployment; name: TraceName; random: Random; prefix: string; seed: number};

function makeRequests(flow: Flow, context: FlowContext): TraceRequest[] {
	const {deployment, random} = context;
	const vms = deployment.entryVms.filter(vm => flow.zones?.includes(vm.zone) ?? true);
	const requests: TraceRequest[] = [];
	const meanGapMs = 1000 / flow.perSecond;
	for (let at = flow.fromMs + random.exponential(meanGapMs); at < flow.untilMs; at += random.exponential(meanGapMs)) {
		const id = `${context.prefix}-${requests.length}`;
		const isBooking = random.chance(bookingShare);
		const request = traceRequestSchema.parse({
			type: 'request',
			id,
			at_ms: Math.round(at * 10) / 10,
			entry_vm: random.pick(vms).name,
			team: flow.team,
			pipeline: isBooking ? deployment.booking : random.pick(deployment.adviceLike),
			segments: segments(flow.team, id, context),
			max_tokens: random.integer(32, 112),
			deadline_ms: deadlineMs,
			...(isBooking ? {key: `${context.prefix}-${context.seed}-${id}`} : {}),
			expect: context.name === 'burst' && flow.team !== deployment.roles.small ? 'any' : 'answer',
		});
		requests.push(request);
		if (isBooking && random.chance(repeatShare)) {
			requests.push({
				...request, id: `${id}-again`, at_ms: request.at_ms + repeatAfterMs, entry_vm: random.pick(vms).name, attempt: 2,
			});
		}
	}

	return requests;
}

/** A prompt shared by the team, one of its archives, and the caller's own question. */
function segments(team: string, id: string, {name, random}: FlowContext): TraceSegment[] {
	const isLong = name === 'shared-prefix';
	const archive = random.integer(1, isLong ? sharedPrefixArchives : archivesPerTeam);
	return [
		{id: `${team}-rules`, tokens: 600},
		{id: `${team}-archive-${archive}`, tokens: isLong ? 3200 : 1400},
		{id: `question-${id}`, tokens: random.integer(30, 160)},
	];
}

function faultsOf(name: TraceName, deployment: Deployment, durationMs: Ms): TraceFault[] {
	const engine = `${deployment.mainPool}-1`;
	const span = {at_ms: durationMs / 4, until_ms: durationMs * 3 / 4};
	const whole = {at_ms: 0, until_ms: durationMs * 2};
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
			...whole, scope: 'all', fault: 'load_lag', value: 2000,
		}],
		'cache-gaps': [
			{
				...whole, scope: 'all', fault: 'cache_event_gaps', value: 0.2,
			},
			{
				...whole, scope: 'all', fault: 'cache_event_lag', value: 1500,
			},
		],
	};
	return (byName[name] ?? []).map(fault => traceFaultSchema.parse({type: 'fault', ...fault}));
}
