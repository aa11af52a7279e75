// `npm run bench:clocks -- [seeds]`: counts the effects that a merged time line orders before their causes when clocks are
// skewed and stepped, for three ways to merge.
import process from 'node:process';
import {HybridClock, mergeEvents, type TimelineEvent} from '../src/events/index.js';
import {Random} from '../src/random/index.js';

const processCount = 9;
const durationMs = 60_000;
const meanEventIntervalMs = 50;
const meanMessageIntervalMs = 200;
const maxClockSkewMs = 1000;
const meanClockStepIntervalMs = 10_000;
const messageDelayMs = {min: 1, max: 40};
/** Share of messages without a hybrid timestamp: those not sent over links, such as records of the platform's log. */
const untimestampedShare = 0.2;

type Message = {cause: string; from: number; to: number; isTimestamped: boolean; time: {physicalMs: number; logical: number} | undefined};
type ScheduledAction = {atMs: number; order: number; run: () => void};
type CausalPair = {cause: string; effect: string; kind: 'link' | 'other' | 'process'};

/** Simulates one deployment. Returns the events of each process with both kinds of timestamp, and the causal pairs. */
function simulate(seed: number) {
	const random = Random.create(seed);
	let nowMs = 0;
	let order = 0;
	const queue: ScheduledAction[] = [];
	const schedule = (atMs: number, run: () => void) => {
		queue.push({atMs, order: order++, run});
	};

	const skews = Array.from({length: processCount}, () => (random.float() * 2 * maxClockSkewMs) - maxClockSkewMs);
	const clocks = skews.map((_, index) => ({wall: () => 1_700_000_000_000 + Math.floor(nowMs + skews[index]!)}));
	const hybridClocks = clocks.map(clock => HybridClock.create(clock));
	const wallEvents: TimelineEvent[][] = clocks.map(() => []);
	const hybridEvents: TimelineEvent[][] = clocks.map(() => []);
	const pairs: CausalPair[] = [];
	const record = (index: number) => {
		const sequence = wallEvents[index]!.length + 1;
		const base = {kind: 'attempt_sent' as const, process: `vm-${index}`, sequence};
		const time = hybridClocks[index]!.tick();
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
			hybridClocks[message.to]!.merge(message.time);
		}

		pairs.push({cause: message.cause, effect: record(message.to), kind: message.isTimestamped ? 'link' : 'other'});
	};

	const scheduleRepeatedly = (meanMs: number, run: () => void) => {
		schedule(nowMs + random.exponential(meanMs), () => {
			run();
			scheduleRepeatedly(meanMs, run);
		});
	};

	for (let index = 0; index < processCount; index++) {
		scheduleRepeatedly(meanEventIntervalMs, () => {
			record(index);
		});
		scheduleRepeatedly(meanClockStepIntervalMs, () => {
			skews[index] = (random.float() * 2 * maxClockSkewMs) - maxClockSkewMs;
		});
		scheduleRepeatedly(meanMessageIntervalMs, () => {
			const to = (index + random.integer(1, processCount - 1)) % processCount;
			const cause = record(index);
			const isTimestamped = !random.chance(untimestampedShare);
			const message: Message = {
				cause, from: index, to, isTimestamped, time: isTimestamped ? hybridClocks[index]!.tick() : undefined,
			};
			schedule(nowMs + random.integer(messageDelayMs.min, messageDelayMs.max), () => {
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

		nowMs = action.atMs;
		action.run();
	}

	return {wallEvents, hybridEvents, pairs};
}

/** Counts the pairs whose effect is ordered before its cause, by kind of pair. */
function countCausalityViolations(order: readonly TimelineEvent[], pairs: readonly CausalPair[]) {
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
const seedsToRun = seeds.length > 0 ? seeds : [1, 2, 3];
const violationsByOrder = new Map<string, {process: number; link: number; other: number}>();
const pairTotals = {process: 0, link: 0, other: 0};
for (const seed of seedsToRun) {
	const {wallEvents, hybridEvents, pairs} = simulate(seed);
	for (const {kind} of pairs) {
		pairTotals[kind]++;
	}

	const orders = {
		'wall time alone': wallEvents.flat().toSorted((a, b) => a.wallMs - b.wallMs),
		'process sequence, merged by wall time': mergeEvents(wallEvents),
		'hybrid clock, merged on link messages': mergeEvents(hybridEvents),
	};
	for (const [name, order] of Object.entries(orders)) {
		const sum = violationsByOrder.get(name) ?? {process: 0, link: 0, other: 0};
		const count = countCausalityViolations(order, pairs);
		violationsByOrder.set(name, {process: sum.process + count.process, link: sum.link + count.link, other: sum.other + count.other});
	}
}

console.log(`seeds ${seedsToRun.join(', ')}; ${processCount} processes, ${durationMs / 1000} s each, skew and steps up to ${maxClockSkewMs} ms`);
console.log(`| order | within a process (of ${pairTotals.process}) | over links (of ${pairTotals.link}) | over other paths (of ${pairTotals.other}) |`);
console.log('|---|---|---|---|');
for (const [name, count] of violationsByOrder) {
	console.log(`| ${name} | ${count.process} | ${count.link} | ${count.other} |`);
}
