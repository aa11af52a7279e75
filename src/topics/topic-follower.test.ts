import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import type {
	KeyedPage, KeyedRecord, KeyedSnapshot, KeyedTopic,
} from './keyed-topic.js';
import {TopicFollower} from './topic-follower.js';

const record = (key: string, value: string): KeyedRecord => ({key, value: Buffer.from(value)});

/** In-memory topic whose calls can fail and whose old records can expire. */
class FakeTopic implements KeyedTopic {
	records: KeyedRecord[] = [];
	first = 0;
	era = 1;
	isDown = false;
	reads = 0;

	async newest(): Promise<KeyedSnapshot> {
		this.#check();
		const newest = new Map(this.records.map(each => [each.key, each]));
		return {records: [...newest.values()], end: this.records.length, era: this.era};
	}

	async read(from: number): Promise<KeyedPage> {
		this.reads++;
		this.#check();
		const {era} = this;
		return from < this.first || from > this.records.length
			? {kind: 'expired', era}
			: {
				kind: 'records', records: this.records.slice(from), next: this.records.length, era,
			};
	}

	#check(): void {
		if (this.isDown) {
			throw new Error('down');
		}
	}
}

function follow(topic: FakeTopic, {pollMs = 1000, waitMs = 0} = {}) {
	const clock = ManualClock.create();
	const seen: string[] = [];
	const outages: number[] = [];
	const follower = TopicFollower.create({
		name: 'test',
		topic,
		clock,
		logger: silentLoggerFactory('config'),
		pollMs,
		waitMs,
		onSnapshot({records}) {
			seen.push(`snapshot ${records.map(({key, value}) => `${key}=${String(value)}`).join(' ')}`);
		},
		onRecords(records) {
			seen.push(...records.map(({key, value}) => `${key}=${value === undefined ? '' : String(value)}`));
		},
		onRecovered(outageMs) {
			outages.push(outageMs);
		},
	});
	follower.start();
	return {
		clock, seen, outages, follower,
	};
}

describe('TopicFollower', () => {
	it('starts with a snapshot of the newest records and continues from there', async () => {
		const topic = new FakeTopic();
		topic.records.push(record('a', '1'), record('a', '2'));
		const {clock, seen} = follow(topic);
		await clock.advance(1);
		topic.records.push(record('b', '1'), {key: 'a', value: undefined});
		await clock.advance(1000);
		expect(seen).toEqual(['snapshot a=2', 'b=1', 'a=']);
	});

	it('continues at its offset after an outage and reports the length of the outage', async () => {
		const topic = new FakeTopic();
		topic.records.push(record('a', '1'));
		const {clock, seen, outages} = follow(topic);
		await clock.advance(1);
		topic.isDown = true;
		await clock.advance(3000);
		topic.records.push(record('a', '2'));
		topic.isDown = false;
		await clock.advance(1000);
		expect(seen).toEqual(['snapshot a=1', 'a=2']);
		expect(outages).toHaveLength(1);
		expect(outages[0]).toBeGreaterThanOrEqual(3000);
	});

	it('reads a new snapshot when the records at its offset have expired', async () => {
		const topic = new FakeTopic();
		topic.records.push(record('a', '1'));
		const {clock, seen} = follow(topic);
		await clock.advance(1);
		topic.records.push(record('a', '2'), record('a', '3'));
		topic.first = 2;
		await clock.advance(2001);
		expect(seen).toEqual(['snapshot a=1', 'snapshot a=3']);
	});

	it('reads a new snapshot when the topic ends before its offset', async () => {
		const topic = new FakeTopic();
		topic.records.push(record('a', '1'), record('a', '2'));
		const {clock, seen} = follow(topic);
		await clock.advance(1);
		topic.records.pop();
		await clock.advance(2001);
		expect(seen).toEqual(['snapshot a=2', 'snapshot a=1']);
	});

	// Guards against records that nobody reads: the store came back from an older copy, and writers have carried the topic
	// past the offset that the follower had reached in the lost history.
	it('reads a new snapshot when the store has been restored, although the topic has its offset', async () => {
		const topic = new FakeTopic();
		topic.records.push(record('a', '1'), record('b', '1'));
		const {clock, seen} = follow(topic);
		await clock.advance(1);
		topic.era++;
		topic.records.splice(1);
		topic.records.push(record('c', '1'), record('a', '2'));
		await clock.advance(2001);
		expect(seen).toEqual(['snapshot a=1 b=1', 'snapshot a=2 c=1']);
	});

	// Guards against a read by every VM for each record when many VMs write to a topic at once.
	it('spaces long polls while each of them brings records at once', async () => {
		const topic = new FakeTopic();
		const {clock, seen} = follow(topic, {pollMs: 100, waitMs: 10_000});
		for (let index = 0; index < 500; index++) {
			topic.records.push(record('a', String(index)));
			await clock.advance(10);
		}

		await clock.advance(1600);
		expect(seen.at(-1)).toBe('a=499');
		expect(topic.reads).toBeLessThan(12);
	});
});
