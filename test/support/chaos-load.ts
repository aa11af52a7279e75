import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../../src/random/index.js';
import type {Daemon} from './daemon.js';
import {type StreamEvent, streamEvents} from './event-stream.js';
import {pipelineUrl, post} from './fleet.js';
import {type ZoneFleet, type ZonePipeline, expectedZoneAnswer} from './zone-fleet.js';

/** Result of one attempt of a request. */
export interface LoadResult {
	readonly kind: 'stream' | 'plain' | 'unkeyed' | 'keyed' | 'minted';
	readonly pipeline: ZonePipeline;
	/** Incarnation that the request was sent to. */
	readonly incarnation: string;
	readonly requestId?: string;
	/** Idempotency key. */
	readonly key?: string;
	/** Outcome in the answer; `broken` if the connection ended without one. */
	readonly outcome: string;
	readonly reason?: string;
	readonly answer?: string;
	readonly expected: string;
	readonly events?: readonly StreamEvent[];
	readonly durationMs: number;
	/** Error that ended the connection. */
	readonly error?: string;
}

const tokens = 60;
/** Kinds of requests; repeated entries are chosen more often. */
const kinds = ['stream', 'stream', 'plain', 'plain', 'unkeyed', 'keyed', 'keyed', 'minted'] as const;
/** Maximum number of sequential attempts of a booking, each at a random entry VM. */
const maxAttempts = 3;
const maxRequests = 1000;

/** Sends requests one at a time to random entry VMs until the signal aborts. */
export async function sendLoad(fleet: ZoneFleet, random: Random, signal: AbortSignal): Promise<LoadResult[]> {
	const results: LoadResult[] = [];
	while (results.length < maxRequests && !signal.aborted) {
		const kind = kinds[random.integer(0, kinds.length - 1)]!;
		const pipeline = kind === 'stream' || kind === 'plain' ? 'advice' : (['strike', 'commission'] as const)[random.integer(0, 1)]!;
		const text = `${kind} ${randomUUID()}`;
		if (kind === 'keyed' || kind === 'minted') {
			results.push(...await book(fleet, {
				kind, pipeline, text, random,
			}));
		} else {
			results.push(await send(pickVm(fleet, random), {kind, pipeline, text}));
		}

		await sleep(random.integer(0, 60));
	}

	return results;
}

type RequestSpec = {kind: LoadResult['kind']; pipeline: ZonePipeline; text: string; idempotency?: {key: string; not_after_ms?: number; attempt: number}};

function pickVm(fleet: ZoneFleet, random: Random): Daemon {
	const vms = [...fleet.vms.values()];
	return vms[random.integer(0, vms.length - 1)]!;
}

/** Books with an idempotency key, at random either with two concurrent attempts or with retries until one is done. */
async function book(fleet: ZoneFleet, spec: RequestSpec & {random: Random}): Promise<LoadResult[]> {
	const {random, ...rest} = spec;
	const first = pickVm(fleet, random);
	const notAfterMs = Date.now() + 600_000;
	let key = randomUUID() as string;
	if (spec.kind === 'minted') {
		try {
			key = (await post(`http://127.0.0.1:${first.ports.callers}/v1/keys`, {})).body.key as string;
		} catch {
			return [];
		}
	}

	const attempt = async (vm: Daemon, number: number) => send(vm, {...rest, idempotency: {key, ...spec.kind === 'minted' ? {} : {not_after_ms: notAfterMs}, attempt: number}});
	if (random.integer(0, 1) === 0) {
		return Promise.all([attempt(first, 1), attempt(pickVm(fleet, random), 2)]);
	}

	const results: LoadResult[] = [];
	for (let number = 1; number <= maxAttempts && results.at(-1)?.outcome !== 'done'; number++) {
		results.push(await attempt(number === 1 ? first : pickVm(fleet, random), number));
	}

	return results;
}

async function send(vm: Daemon, {kind, pipeline, text, idempotency}: RequestSpec): Promise<LoadResult> {
	const startedAt = Date.now();
	const events: StreamEvent[] = [];
	const common = {
		kind, pipeline, incarnation: vm.firstMessage.incarnation as string, expected: expectedZoneAnswer(pipeline, text, tokens), ...(idempotency ? {key: idempotency.key} : {}),
	};
	const body = {
		team: 'engravers', input: {text}, max_tokens: tokens, ...(idempotency ? {idempotency} : {}),
	};
	try {
		const url = pipelineUrl(vm, pipeline);
		if (kind === 'stream') {
			const all = await streamEvents(url, body, event => {
				events.push(event);
			});
			events.push(...all.slice(events.length));
		}

		const answer = kind === 'stream' ? events.at(-1)?.data : (await post(url, body)).body;
		return {
			...common, ...(kind === 'stream' ? {events} : {}), requestId: answer?.request_id, outcome: answer?.outcome ?? 'broken', reason: answer?.reason, answer: answer?.answer, durationMs: Date.now() - startedAt,
		};
	} catch (err) {
		return {
			...common, ...(kind === 'stream' ? {events} : {}), outcome: 'broken', error: String(err), durationMs: Date.now() - startedAt,
		};
	}
}
