import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import type {
	KeyedPage, KeyedRecord, KeyedSnapshot, KeyedTopic, KeyedWriter,
} from '../topics/index.js';
import {TopicVmList} from './topic-vm-list.js';
import type {Vm} from './vm-list.js';

/** In-memory topic whose reads wait for records. */
class FakeTopic implements KeyedTopic, KeyedWriter {
	records: KeyedRecord[] = [];
	era = 1;
	isDown = false;

	constructor(private readonly clock: ManualClock) {}

	async newest(): Promise<KeyedSnapshot> {
		const newest = new Map(this.records.map(record => [record.key, record]));
		return {records: [...newest.values()].filter(record => record.value), end: this.records.length, era: this.era};
	}

	async read(from: number, waitMs: number): Promise<KeyedPage> {
		for (let waited = 0; waited < waitMs && this.records.length <= from; waited += 50) {
			await this.clock.sleep(50);
		}

		return {
			kind: 'records', records: this.records.slice(from), next: this.records.length, era: this.era,
		};
	}

	async put(key: string, value: Uint8Array): Promise<void> {
		if (this.isDown) {
			throw new Error('down');
		}

		this.records.push({key, value});
	}

	async remove(key: string): Promise<void> {
		this.records.push({key, value: undefined});
	}
}

const vm = (id: string, startId: string): Vm => ({
	id, zone: 'riga-a', role: 'entry', address: `10.0.0.1:${startId}`, startId, state: 'live',
});

function create() {
	const clock = ManualClock.create();
	const topic = new FakeTopic(clock);
	const start = (self: Vm) => {
		const list = TopicVmList.create({
			topic, writer: topic, clock, logger: silentLoggerFactory('links'), self,
		});
		list.start();
		return list;
	};

	const starts = async (list: TopicVmList) => (await list.list()).vms.map(each => `${each.id} ${each.startId}`).toSorted();
	return {
		clock, topic, start, starts,
	};
}

describe('TopicVmList', () => {
	it('lists each VM soon after its start and removes it at its shutdown', async () => {
		const {clock, start, starts} = create();
		const first = start(vm('a', '1'));
		await clock.advance(200);
		const second = start(vm('b', '2'));
		await clock.advance(200);
		expect([await starts(first), await starts(second)]).toEqual([['a 1', 'b 2'], ['a 1', 'b 2']]);
		await second.stop();
		await clock.advance(200);
		expect(await starts(first)).toEqual(['a 1']);
	});

	it('lists the latest start of a VM despite a late write by an earlier one', async () => {
		const {clock, topic, start, starts} = create();
		const first = start(vm('a', '1'));
		start(vm('b', '2'));
		await clock.advance(200);
		start(vm('b', '3'));
		await clock.advance(200);
		await topic.remove('b 2');
		await clock.advance(200);
		expect(await starts(first)).toEqual(['a 1', 'b 3']);
	});

	it('omits a lost VM once its record is stale and keeps VMs that refresh theirs', async () => {
		const {clock, topic, start, starts} = create();
		const first = start(vm('a', '1'));
		await topic.put('c 0', Buffer.from(JSON.stringify({...vm('c', '0'), wroteMs: clock.wall()})));
		await topic.put('d 0', Buffer.from('not a VM'));
		await clock.advance(1000);
		expect(await starts(first)).toEqual(['a 1', 'c 0']);
		await clock.advance(301_000);
		expect(await starts(first)).toEqual(['a 1']);
	});

	it('writes its record once the store responds again', async () => {
		const {clock, topic, start, starts} = create();
		topic.isDown = true;
		const first = start(vm('a', '1'));
		await clock.advance(2000);
		topic.isDown = false;
		await clock.advance(1000);
		expect(await starts(first)).toEqual(['a 1']);
	});
});
