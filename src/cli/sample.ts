import type {Declaration} from '../config/index.js';

/** Origins of the stand-ins in the sample configuration. */
export interface SampleOrigins {
	readonly encoder: string;
	readonly retriever: string;
	readonly reranker: string;
	readonly engine: string;
}

/** Returns the declarations of the sample: one zone, one team and one pipeline of four stages with their pools and targets. */
export function sampleDeclarations(origins: SampleOrigins): Declaration[] {
	const service = (name: string, address: string): Declaration[] => [
		{
			kind: 'pool', name, type: 'service', prefill_ms_per_token: 0, decode_ms_per_token: 0, service_ms: 5, cost_per_second: 0.01, lookup: false,
		},
		{
			kind: 'target', name: `${name}-1`, zone: 'sample-a', pool: name, address, slots: 32, checks_fencing: false,
		},
	];
	return [
		{kind: 'zone', name: 'sample-a', region: 'Sample'},
		{
			kind: 'team', name: 'apprentices', weight: 1, priority: 5, deadline_ms: 9000,
		},
		...service('encoders', origins.encoder),
		...service('retrievers', origins.retriever),
		...service('rerankers', origins.reranker),
		{
			kind: 'pool', name: 'engines', type: 'engine', prefill_ms_per_token: 0.05, decode_ms_per_token: 10, service_ms: 0, cost_per_second: 1, lookup: false,
		},
		{
			kind: 'target', name: 'engines-1', zone: 'sample-a', pool: 'engines', address: origins.engine, slots: 8, checks_fencing: false,
		},
		{
			kind: 'pipeline',
			name: 'advice',
			deadline_ms: 9000,
			stages: [
				{
					name: 'encode', kind: 'encode', pool: 'encoders', idempotent: true,
				},
				{
					name: 'retrieve', kind: 'retrieve', pool: 'retrievers', idempotent: true,
				},
				{
					name: 'rerank', kind: 'rerank', pool: 'rerankers', idempotent: true,
				},
				{
					name: 'generate', kind: 'generate', pool: 'engines', idempotent: true,
				},
			],
		},
	];
}
