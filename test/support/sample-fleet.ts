import type {Declaration} from '../../src/config/index.js';
import {sampleDeclarations} from '../../src/cli/sample.js';
import {expectedAnswer} from '../../src/stand-ins/index.js';
import type {Daemon} from './daemon.js';
import {Fleet} from './fleet.js';

/** Returns the answer that the sample pipeline gives to a text. */
export function expectedSampleAnswer(text: string, maxTokens: number): string {
	return expectedAnswer([{kind: 'encode'}, {kind: 'retrieve'}, {kind: 'rerank'}, {kind: 'generate', maxTokens}], [text]);
}

/** Options of `startSampleFleet`. */
export interface SampleFleetOptions {
	/** Number of entry VMs; default 1. */
	readonly entryVms?: number;
	/** Command-line flags of each engine. */
	readonly engineFlags?: readonly string[];
}

/** Starts a fleet with the sample pipeline and two engines and two rerankers, so that one of each can fail. */
export async function startSampleFleet(options: SampleFleetOptions = {}): Promise<Fleet> {
	const fleet = await Fleet.start();
	const engineFlags = options.engineFlags ?? ['--decode-ms-per-token', '5'];
	const [encoder, retriever, reranker, reranker2, engine, engine2] = await Promise.all([
		fleet.startTarget('encoders-1', 'service'),
		fleet.startTarget('retrievers-1', 'service'),
		fleet.startTarget('rerankers-1', 'service'),
		fleet.startTarget('rerankers-2', 'service'),
		fleet.startTarget('engines-1', 'engine', engineFlags),
		fleet.startTarget('engines-2', 'engine', engineFlags),
	]);
	const secondTarget = (name: string, pool: string, daemon: Daemon): Declaration => ({
		kind: 'target', name, zone: 'sample-a', pool, address: daemon.origin, slots: 8, checks_fencing: false,
	});
	await Promise.all(Array.from({length: options.entryVms ?? 1}, async (_, index) => fleet.startEntryVm(`vm-${index + 1}`, 'sample-a')));
	await fleet.publish([
		...sampleDeclarations({
			encoder: encoder.origin, retriever: retriever.origin, reranker: reranker.origin, engine: engine.origin,
		}),
		secondTarget('rerankers-2', 'rerankers', reranker2),
		secondTarget('engines-2', 'engines', engine2),
	]);
	await fleet.untilReady();
	return fleet;
}
