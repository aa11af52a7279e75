import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import type {
	KeyedPage, KeyedRecord, KeyedSnapshot, KeyedTopic, KeyedWriter,
} from '../topics/index.js';
import {Random} from '../random/index.js';
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

		if (this.records.length < from) {
			return {kind: 'expired', era: this.era};
		}

		return {
			kind: 'records', records: this.records.slice(from), next: this.records.length, era: this.era,
		};
	}

	restore(copy: KeyedRecord[]): void {
		this.records = [...copy];
		this.era++;
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
	let seed = 0;
	const start = (self: Vm) => {
		const list = TopicVmList.create({
			topic, writer: topic, clock, logger: silentLoggerFactory('links'), random: Random.create(++seed), self,
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

	describe('when the store comes back from an older copy', () => {
		// Guards against an entry VM that nobody finds: the copy is from before its start.
		it('keeps the VMs that the copy lacks, which write their records again, also for VMs that start then', async () => {
			const {clock, topic, start, starts} = create();
			const first = start(vm('a', '1'));
			await clock.advance(200);
			const copy = [...topic.records];
			start(vm('b', '2'));
			await clock.advance(200);
			topic.restore(copy);
			await clock.advance(300);
			expect(await starts(first)).toEqual(['a 1', 'b 2']);
			await clock.advance(14_000);
			const third = start(vm('c', '3'));
			await clock.advance(200);
			expect(await starts(third)).toEqual(['a 1', 'b 2', 'c 3']);
		});

		// Guards against entry VMs that have left and come back for five minutes, and against a removal by every VM.
		it('leaves out VMs that had left, whose records are removed again by few', async () => {
			const {clock, topic, start, starts} = create();
			const lists = Array.from({length: 100}, (_, index) => start(vm(`a${index}`, '1')));
			const leaving = start(vm('b', '2'));
			await clock.advance(2000);
			const copy = [...topic.records];
			await leaving.stop();
			await clock.advance(2000);
			topic.restore(copy);
			await clock.advance(12_500);
			expect(await starts(lists[0]!)).not.toContain('b 2');
			await clock.advance(10_000);
			expect(topic.records.slice(copy.length).filter(({key}) => key === 'b 2').length).toBeLessThan(20);
			const late = start(vm('c', '3'));
			await clock.advance(200);
			expect(await starts(late)).not.toContain('b 2');
		});
	});
});
