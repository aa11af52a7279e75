import type {Ms} from '../clock/index.js';
import {declarationSchema, type Declaration} from '../config/index.js';
import type {DeploymentName} from './trace.js';

/** Name and zone of an entry VM of a deployment. */
export interface EntryVmLocation {
	readonly name: string;
	readonly zone: string;
}

/** Teams of a deployment by their role in the generated traces. */
export interface TeamRoles {
	readonly small: string;
	/** Medium-sized teams. */
	readonly medium: readonly string[];
	/** Large teams. The first one sends the burst in the trace `burst`. */
	readonly large: readonly string[];
}

/** A reference deployment that traces are generated for and replayed on. */
export interface Deployment {
	readonly name: DeploymentName;
	readonly declarations: readonly Declaration[];
	readonly entryVms: readonly EntryVmLocation[];
	readonly roles: TeamRoles;
	/** One-way latency between callers and entry VMs. */
	readonly callerLatencyMs: Ms;
	/** Pipelines whose stages are all idempotent. */
	readonly idempotentPipelines: readonly string[];
	/** Pipeline with a non-idempotent stage. */
	readonly bookingPipeline: string;
	/** Engine pool of the main generation stage. */
	readonly mainPool: string;
	/** Service pool that is slow in the trace `slow-stage`. */
	readonly slowPool: string;
}

type PoolSpec = {name: string; type: 'engine' | 'service'; count: number; slots: number; serviceMs?: Ms; costPerSecond: number; lookup?: boolean};

type DeploymentSpec = {
	zones: Record<string, string>;
	teams: Record<string, number>;
	pools: PoolSpec[];
	pipelines: Record<string, string[]>;
	costPerGb: number;
	attainmentWeight: number;
	costWeight: number;
};

/** One-way latency between regions. */
export const interRegionLatencyMs: Ms = 20;
/** One-way latency between zones of one region. */
export const interZoneLatencyMs: Ms = 1;
const deadlineMs: Ms = 9000;
const vmsPerZone = 3;
const prefillMsPerToken = 0.15;
const decodeMsPerToken = 12;

const deploymentSpecs: Record<DeploymentName, DeploymentSpec> = {
	'die-works': {
		zones: {'riga-a': 'Riga', 'liepaja-a': 'Kurzeme', 'daugavpils-a': 'Latgale'},
		teams: {
			engravers: 4, press: 4, sales: 2, archive: 2, apprentices: 1,
		},
		pools: [
			{
				name: 'engraving', type: 'engine', count: 8, slots: 8, costPerSecond: 4,
			},
			{
				name: 'order-desk', type: 'engine', count: 3, slots: 8, costPerSecond: 2,
			},
			{
				name: 'die-archive', type: 'service', count: 4, slots: 6, serviceMs: 40, costPerSecond: 0.2,
			},
			{
				name: 'press-scheduling', type: 'service', count: 4, slots: 6, serviceMs: 60, costPerSecond: 0.2, lookup: true,
			},
			{
				name: 'assay-records', type: 'service', count: 4, slots: 6, serviceMs: 30, costPerSecond: 0.2,
			},
		],
		pipelines: {
			'engraving-advice': ['find:retrieve:die-archive', 'rank:rerank:assay-records', 'engrave:generate:engraving'],
			'assay-report': ['encode:encode:assay-records', 'find:retrieve:die-archive', 'rank:rerank:assay-records', 'draft:generate:order-desk:32', 'engrave:generate:engraving'],
			'strike-booking': ['find:retrieve:die-archive', 'draft:generate:order-desk:32', 'book!:call:press-scheduling'],
		},
		costPerGb: 0.02,
		attainmentWeight: 1,
		costWeight: 0.025,
	},
	fundacion: {
		zones: {'heredia-a': 'Meseta Central', 'liberia-a': 'Guanacaste', 'limon-a': 'Caribe Sur'},
		teams: {
			carvers: 4, joiners: 4, commissions: 3, mentors: 2, stipends: 1,
		},
		pools: [
			{
				name: 'guild', type: 'engine', count: 13, slots: 6, costPerSecond: 3,
			},
			{
				name: 'commission', type: 'engine', count: 3, slots: 8, costPerSecond: 2,
			},
			{
				name: 'hardwood-ledger', type: 'service', count: 4, slots: 6, serviceMs: 40, costPerSecond: 0.2,
			},
			{
				name: 'mentor-scheduling', type: 'service', count: 4, slots: 6, serviceMs: 60, costPerSecond: 0.2, lookup: true,
			},
			{
				name: 'shipping', type: 'service', count: 4, slots: 6, serviceMs: 30, costPerSecond: 0.2,
			},
		],
		pipelines: {
			'guild-advice': ['find:retrieve:hardwood-ledger', 'rank:rerank:shipping', 'advise:generate:guild'],
			'commission-quote': ['encode:encode:shipping', 'find:retrieve:hardwood-ledger', 'rank:rerank:shipping', 'draft:generate:commission:32', 'advise:generate:guild'],
			'commission-order': ['find:retrieve:hardwood-ledger', 'draft:generate:commission:32', 'order!:call:mentor-scheduling'],
		},
		costPerGb: 0.12,
		attainmentWeight: 0.6,
		costWeight: 0.6,
	},
};

/**
 * Returns one of the reference deployments at its current size, as described in section 1.3 of the design page.
 *
 * @example
 * const {declarations, entryVms} = createDeployment('die-works');
 */
export function createDeployment(name: DeploymentName): Deployment {
	const spec = deploymentSpecs[name];
	const teams = Object.keys(spec.teams);
	const pipelines = Object.keys(spec.pipelines);
	return {
		name,
		declarations: createDeclarations(spec),
		entryVms: Object.keys(spec.zones).flatMap(zone => Array.from({length: vmsPerZone}, (_, index) => ({name: `${zone.split('-', 1)[0]!}-${index + 1}`, zone}))),
		roles: {small: teams[4]!, medium: teams.slice(2, 4), large: teams.slice(0, 2)},
		callerLatencyMs: name === 'die-works' ? 3 : 1,
		idempotentPipelines: pipelines.slice(0, 2),
		bookingPipeline: pipelines[2]!,
		mainPool: spec.pools[0]!.name,
		slowPool: spec.pools[2]!.name,
	};
}

function createDeclarations(spec: DeploymentSpec): Declaration[] {
	const regions = Object.values(spec.zones);
	const zones = Object.keys(spec.zones);
	const raw: unknown[] = [
		...Object.entries(spec.zones).map(([zone, region]) => ({kind: 'zone', name: zone, region})),
		...regions.flatMap((from, index) => regions.slice(index + 1).map(to => ({
			kind: 'path', name: `${slug(from)}-${slug(to)}`, from, to, latency_ms: interRegionLatencyMs, cost_per_gb: spec.costPerGb,
		}))),
		...Object.entries(spec.teams).map(([team, weight]) => ({
			kind: 'team', name: team, weight, deadline_ms: deadlineMs,
		})),
		...spec.pools.flatMap(pool => createPoolDeclarations(pool, zones)),
		...Object.entries(spec.pipelines).map(([pipeline, stages]) => ({
			kind: 'pipeline', name: pipeline, deadline_ms: deadlineMs, stages: stages.map(stage => parseStage(stage)),
		})),
		{
			kind: 'policy', name: 'default', attainment_weight: spec.attainmentWeight, cost_weight: spec.costWeight,
		},
	];
	return raw.map(entry => declarationSchema.parse(entry));
}

function createPoolDeclarations(pool: PoolSpec, zones: readonly string[]): unknown[] {
	return [
		{
			kind: 'pool',
			name: pool.name,
			type: pool.type,
			prefill_ms_per_token: prefillMsPerToken,
			decode_ms_per_token: decodeMsPerToken,
			service_ms: pool.serviceMs ?? 0,
			cost_per_second: pool.costPerSecond,
			lookup: pool.lookup ?? false,
		},
		...Array.from({length: pool.count}, (_, index) => ({
			kind: 'target', name: `${pool.name}-${index + 1}`, zone: zones[index % zones.length], pool: pool.name, address: 'http://127.0.0.1:1', slots: pool.slots,
		})),
	];
}

/** Parses `name:kind:pool` with an optional `:max_tokens`. A name that ends in "!" marks a non-idempotent stage. */
function parseStage(text: string): unknown {
	const [name, kind, pool, maxTokens] = text.split(':') as [string, string, string, string?];
	return {
		name: name.replace('!', ''), kind, pool, idempotent: !name.endsWith('!'), ...(maxTokens === undefined ? {} : {max_tokens: Number(maxTokens)}),
	};
}

function slug(text: string): string {
	return text.toLowerCase().replaceAll(' ', '-');
}
