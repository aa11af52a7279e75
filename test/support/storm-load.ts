import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../../src/random/index.js';
import type {Daemon} from './daemon.js';
import {type StreamEvent, streamEvents} from './event-stream.js';
import {pipelineUrl, post} from './fleet.js';
import {type ZoneFleet, type ZonePipeline, zoneAnswer} from './zone-fleet.js';

/** One answered or broken request of the load. */
export interface LoadResult {
	readonly kind: 'stream' | 'plain' | 'unkeyed' | 'keyed' | 'minted';
	readonly pipeline: ZonePipeline;
	/** Incarnation that the request was sent to. */
	readonly incarnation: string;
	readonly requestId?: string;
	readonly key?: string;
	/** `broken` when the connection ended without an answer. */
	readonly outcome: string;
	readonly reason?: string;
	readonly answer?: string;
	readonly expected: string;
	readonly events?: readonly StreamEvent[];
	readonly ms: number;
	/** What broke the connection. */
	readonly error?: string;
}

const tokens = 60;
const kinds = ['stream', 'stream', 'plain', 'plain', 'unkeyed', 'keyed', 'keyed', 'minted'] as const;
/** Tries of a booking, each at a random entry VM. */
const maxTries = 3;
const maxRequests = 1000;

/** Sends requests one after the other to random entry VMs until the storm ends. */
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
			results.push(await send(anyVm(fleet, random), {kind, pipeline, text}));
		}

		await sleep(random.integer(0, 60));
	}

	return results;
}

type Work = {kind: LoadResult['kind']; pipeline: ZonePipeline; text: string; idempotency?: {key: string; not_after_ms?: number; attempt: number}};

function anyVm(fleet: ZoneFleet, random: Random): Daemon {
	const vms = [...fleet.vms.values()];
	return vms[random.integer(0, vms.length - 1)]!;
}

/** Some bookings are tried at two entry VMs at once, the others one try after the other until one is done. */
async function book(fleet: ZoneFleet, work: Work & {random: Random}): Promise<LoadResult[]> {
	const {random, ...rest} = work;
	const first = anyVm(fleet, random);
	const notAfterMs = Date.now() + 600_000;
	let key = randomUUID() as string;
	if (work.kind === 'minted') {
		try {
			key = (await post(`http://127.0.0.1:${first.ports.callers}/v1/keys`, {})).body.key as string;
		} catch {
			return [];
		}
	}

	const attempt = async (vm: Daemon, number: number) => send(vm, {...rest, idempotency: {key, ...work.kind === 'minted' ? {} : {not_after_ms: notAfterMs}, attempt: number}});
	if (random.integer(0, 1) === 0) {
		return Promise.all([attempt(first, 1), attempt(anyVm(fleet, random), 2)]);
	}

	const results: LoadResult[] = [];
	for (let number = 1; number <= maxTries && results.at(-1)?.outcome !== 'done'; number++) {
		results.push(await attempt(number === 1 ? first : anyVm(fleet, random), number));
	}

	return results;
}

async function send(vm: Daemon, {kind, pipeline, text, idempotency}: Work): Promise<LoadResult> {
	const startedAt = Date.now();
	const events: StreamEvent[] = [];
	const common = {
		kind, pipeline, incarnation: vm.hello.incarnation as string, expected: zoneAnswer(pipeline, text, tokens), ...(idempotency ? {key: idempotency.key} : {}),
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
			...common, ...(kind === 'stream' ? {events} : {}), requestId: answer?.request_id, outcome: answer?.outcome ?? 'broken', reason: answer?.reason, answer: answer?.answer, ms: Date.now() - startedAt,
		};
	} catch (err) {
		return {
			...common, ...(kind === 'stream' ? {events} : {}), outcome: 'broken', error: String(err), ms: Date.now() - startedAt,
		};
	}
}
