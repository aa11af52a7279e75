import {declarationSchema, type Declaration, type Pipeline} from '../../src/config/index.js';

/** Teams, targets and policy of a test configuration. */
export interface PolicySetup {
	/** Weight of each team. */
	readonly teams: Readonly<Record<string, number>>;
	/** Number of targets in each zone. */
	readonly targets: Readonly<Record<string, number>>;
	/** Slots of each target. */
	readonly slots: number;
	/** Duration of a call in ms, for a pool of services; if absent, the pool has engines. */
	readonly serviceMs?: number;
	readonly policy?: Readonly<Record<string, number>>;
}

/** Returns declarations of a pool `pool`, a single-stage pipeline `ask` and paths from the first zone's region to the others. */
export function policyDeclarations(setup: PolicySetup): Declaration[] {
	const zones = Object.keys(setup.targets);
	const isService = setup.serviceMs !== undefined;
	return [
		...zones.map(name => ({kind: 'zone', name, region: `region-${name}`})),
		...zones.slice(1).map(name => ({
			kind: 'path', name: `path-${name}`, from: `region-${zones[0]}`, to: `region-${name}`, latency_ms: 20, cost_per_gb: 0.1,
		})),
		...Object.entries(setup.teams).map(([name, weight]) => ({
			kind: 'team', name, weight, deadline_ms: 9000,
		})),
		{
			kind: 'pool', name: 'pool', type: isService ? 'service' : 'engine', service_ms: setup.serviceMs ?? 0, prefill_ms_per_token: 0.1, decode_ms_per_token: 10,
		},
		...zones.flatMap(zone => Array.from({length: setup.targets[zone]!}, (_, index) => ({
			kind: 'target', name: `${zone}-${index + 1}`, zone, pool: 'pool', address: 'http://127.0.0.1:1', slots: setup.slots,
		}))),
		{
			kind: 'pipeline', name: 'ask', deadline_ms: 9000, stages: [{name: 'answer', kind: isService ? 'call' : 'generate', pool: 'pool'}],
		},
		...setup.policy ? [{kind: 'policy', name: 'default', ...setup.policy}] : [],
	].map(declaration => declarationSchema.parse(declaration));
}

/** Returns the pipeline of a test configuration. */
export function pipelineOf(declarations: readonly Declaration[]): Pipeline {
	return declarations.find((declaration): declaration is Pipeline => declaration.kind === 'pipeline')!;
}
