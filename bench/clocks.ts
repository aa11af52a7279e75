// `npm run bench:clocks`: effects shown before their causes under skewed and stepped clocks, for three ways to merge.
import process from 'node:process';
import {HybridClock, mergeEvents, type TimelineEvent} from '../src/events/index.js';
import {Random} from '../src/random/index.js';

const processes = 9;
const durationMs = 60_000;
const eventMeanMs = 50;
const messageMeanMs = 200;
const maxSkewMs = 1000;
const stepMeanMs = 10_000;
const delayMs = {min: 1, max: 40};
/** Share of the messages that are not sent over links, such as records of the platform's log; they carry no clock. */
const unstampedShare = 0.2;

type Message = {cause: string; from: number; to: number; isStamped: boolean; time: {physicalMs: number; logical: number} | undefined};
type Action = {atMs: number; order: number; run: () => void};
type Pair = {cause: string; effect: string; kind: 'link' | 'other' | 'process'};

/** One simulated deployment; returns the events of each process under both clocks, and the pairs of cause and effect. */
function simulate(seed: number) {
	const random = Random.create(seed);
	let now = 0;
	let order = 0;
	const queue: Action[] = [];
	const at = (atMs: number, run: () => void) => {
		queue.push({atMs, order: order++, run});
	};

	const skews = Array.from({length: processes}, () => (random.float() * 2 * maxSkewMs) - maxSkewMs);
	const clocks = skews.map((_, index) => ({wall: () => 1_700_000_000_000 + Math.floor(now + skews[index]!)}));
	const hybrids = clocks.map(clock => HybridClock.create(clock));
	const wallEvents: TimelineEvent[][] = clocks.map(() => []);
	const hybridEvents: TimelineEvent[][] = clocks.map(() => []);
	const pairs: Pair[] = [];
	const record = (index: number) => {
		const sequence = wallEvents[index]!.length + 1;
		const base = {kind: 'attempt_sent' as const, process: `vm-${index}`, sequence};
		const time = hybrids[index]!.tick();
		wallEvents[index]!.push({...base, wallMs: clocks[index]!.wall(), logical: 0});
		hybridEvents[index]!.push({...base, wallMs: time.physicalMs, logical: time.logical});
		const id = `vm-${index} ${sequence}`;
		if (sequence > 1) {
			pairs.push({cause: `vm-${index} ${sequence - 1}`, effect: id, kind: 'process'});
		}

		return id;
	};

	const receive = (message: Message) => {
		if (message.time) {
			hybrids[message.to]!.merge(message.time);
		}

		pairs.push({cause: message.cause, effect: record(message.to), kind: message.isStamped ? 'link' : 'other'});
	};

	const repeat = (meanMs: number, run: () => void) => {
		at(now + random.exponential(meanMs), () => {
			run();
			repeat(meanMs, run);
		});
	};

	for (let index = 0; index < processes; index++) {
		repeat(eventMeanMs, () => {
			record(index);
		});
		repeat(stepMeanMs, () => {
			skews[index] = (random.float() * 2 * maxSkewMs) - maxSkewMs;
		});
		repeat(messageMeanMs, () => {
			const to = (index + random.integer(1, processes - 1)) % processes;
			const cause = record(index);
			const isStamped = !random.chance(unstampedShare);
			const message: Message = {
				cause, from: index, to, isStamped, time: isStamped ? hybrids[index]!.tick() : undefined,
			};
			at(now + random.integer(delayMs.min, delayMs.max), () => {
				receive(message);
			});
		});
	}

	while (queue.length > 0) {
		queue.sort((a, b) => (b.atMs - a.atMs) || (b.order - a.order));
		const action = queue.pop()!;
		if (action.atMs > durationMs) {
			break;
		}

		now = action.atMs;
		action.run();
	}

	return {wallEvents, hybridEvents, pairs};
}

function countInversions(order: readonly TimelineEvent[], pairs: readonly Pair[]) {
	const position = new Map(order.map((event, index) => [`${event.process} ${event.sequence}`, index]));
	const count = {process: 0, link: 0, other: 0};
	for (const {cause, effect, kind} of pairs) {
		if (position.get(effect)! < position.get(cause)!) {
			count[kind]++;
		}
	}

	return count;
}

const seeds = process.argv.slice(2).map(Number);
const used = seeds.length > 0 ? seeds : [1, 2, 3];
const rows = new Map<string, {process: number; link: number; other: number}>();
const totals = {process: 0, link: 0, other: 0};
for (const seed of used) {
	const {wallEvents, hybridEvents, pairs} = simulate(seed);
	for (const {kind} of pairs) {
		totals[kind]++;
	}

	const orders = {
		'wall time alone': wallEvents.flat().toSorted((a, b) => a.wallMs - b.wallMs),
		'process sequence, merged by wall time': mergeEvents(wallEvents),
		'hybrid clock, merged on link messages': mergeEvents(hybridEvents),
	};
	for (const [name, order] of Object.entries(orders)) {
		const sum = rows.get(name) ?? {process: 0, link: 0, other: 0};
		const count = countInversions(order, pairs);
		rows.set(name, {process: sum.process + count.process, link: sum.link + count.link, other: sum.other + count.other});
	}
}

console.log(`seeds ${used.join(', ')}; ${processes} processes, ${durationMs / 1000} s each, skew and steps up to ${maxSkewMs} ms`);
console.log(`| order | within a process (of ${totals.process}) | over links (of ${totals.link}) | over other paths (of ${totals.other}) |`);
console.log('|---|---|---|---|');
for (const [name, count] of rows) {
	console.log(`| ${name} | ${count.process} | ${count.link} | ${count.other} |`);
}
