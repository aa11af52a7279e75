import {z} from 'zod';
import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logging/index.js';
import type {Random} from '../random/index.js';
import {linkController} from '../signals/index.js';
import {
	TopicFollower, type KeyedRecord, type KeyedTopic, type KeyedWriter, type SnapshotOrigin,
} from '../topics/index.js';
import type {Vm, VmList, VmSnapshot} from './vm-list.js';

/** Long-poll timeout of reads: changes arrive immediately, and a half-open connection is detected after this time. */
const waitMs: Ms = 10_000;
/** Pause between reads, so that many VMs that start at once do not cause a read by every VM for each of their records. */
const pollMs: Ms = 100;
/** Interval at which each VM rewrites its record. */
const refreshIntervalMs: Ms = 60_000;
/** Records older than this, which is several refresh intervals, belong to lost VMs and are ignored. */
const maxRecordAgeMs: Ms = 300_000;
/** Delay before retrying a failed write. */
const retryDelayMs: Ms = 500;
/** Time over which the VMs spread the writes that make up for what a restored store has lost. */
const rewriteSpreadMs: Ms = 2000;
/** Time over which the VMs spread the removals of records that have come back: the first one spares the others theirs. */
const removalSpreadMs: Ms = 10_000;

/** Dependencies of a `TopicVmList`. */
export interface TopicVmListOptions {
	readonly topic: KeyedTopic;
	readonly writer: KeyedWriter;
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly random: Random;
	/** Record that this VM publishes about itself. */
	readonly self: Vm;
}

type VmEntry = {vm: Vm; wroteMs: Ms};

// Link messages carry the names, and bound them.
const nameSchema = z.string().min(1).max(200);
const entrySchema = z.object({
	id: nameSchema, zone: nameSchema, address: nameSchema, startId: nameSchema, wroteMs: z.number(),
});

/**
 * The entry VMs of a deployment, as records of a keyed topic: each VM writes a record when it starts and removes it
 * when it shuts down. The record of a lost VM remains until it is stale; links detect lost VMs sooner. When the store
 * comes back from an older copy, each VM writes its own record again if it is lost, and one of them removes the records
 * of VMs that have left since.
 *
 * @example
 * list.start();
 * const {vms} = await list.list();
 */
export class TopicVmList implements VmList {
	static create(options: TopicVmListOptions): TopicVmList {
		return new TopicVmList(options);
	}

	readonly #entries = new Map<string, VmEntry>();
	/** Times at which records were removed, by key, oldest first. */
	readonly #removedMs = new Map<string, Ms>();
	readonly #stopped = new AbortController();
	/** Ends the current pause of the refresh loop. */
	#wake = new AbortController();
	readonly #follower: TopicFollower;

	private constructor(private readonly options: TopicVmListOptions) {
		const {topic, clock, logger} = options;
		this.#follower = TopicFollower.create({
			name: 'entry VMs',
			topic,
			clock,
			logger,
			pollMs,
			waitMs,
			onSnapshot: ({records}, origin) => {
				this.#applySnapshot(records, origin);
			},
			onRecords: records => {
				this.#apply(records);
			},
		});
	}

	/** Follower of the list, to exchange news with peers. */
	get follower(): TopicFollower {
		return this.#follower;
	}

	/** Starts following the list and refreshing this VM's record, until `stop` is called. */
	start(): void {
		this.#follower.start();
		void this.#refreshOwnRecord();
	}

	/** Stops following the list and removes this VM's record. */
	async stop(): Promise<void> {
		this.#stopped.abort();
		this.#follower.stop();
		try {
			await this.options.writer.remove(keyOf(this.options.self));
		} catch (err) {
			this.options.logger.warn('Cannot remove the record of this entry VM; other VMs ignore it once it is stale.', {error: errorMessage(err)});
		}
	}

	async list(): Promise<VmSnapshot> {
		const now = this.options.clock.wall();
		const newest = new Map<string, Vm>();
		for (const {vm, wroteMs} of this.#entries.values()) {
			const existing = newest.get(vm.id);
			// A record from the future would never be stale.
			if (Math.abs(now - wroteMs) < maxRecordAgeMs && (!existing || existing.startId < vm.startId)) {
				newest.set(vm.id, vm);
			}
		}

		return {asOfMs: now - this.#follower.ageMs, vms: [...newest.values()]};
	}

	async #refreshOwnRecord(): Promise<void> {
		const {writer, clock, logger, self} = this.options;
		while (!this.#stopped.signal.aborted) {
			let pauseMs = refreshIntervalMs;
			try {
				await writer.put(keyOf(self), new TextEncoder().encode(JSON.stringify({...self, wroteMs: clock.wall()})));
				await this.#removeEarlierStarts();
			} catch (err) {
				logger.warn('Cannot write the record of this entry VM; retrying.', {error: errorMessage(err)});
				pauseMs = retryDelayMs;
			}

			const {controller, unlink} = linkController([this.#stopped.signal, this.#wake.signal]);
			await clock.sleep(pauseMs, controller.signal);
			unlink();
		}
	}

	/** Applies all records of the topic. Those of a restored store are merged with what is known. */
	#applySnapshot(records: readonly KeyedRecord[], origin: SnapshotOrigin): void {
		if (origin === 'continued') {
			this.#entries.clear();
			this.#apply(records);
			return;
		}

		this.#apply(records.filter(({key}) => !this.#removedMs.has(key)));
		for (const {key} of records) {
			if (this.#removedMs.has(key)) {
				void this.#removeAgain(key);
			}
		}

		if (!records.some(({key}) => key === keyOf(this.options.self))) {
			this.options.clock.after(this.options.random.float() * rewriteSpreadMs, () => {
				this.#wake.abort();
				this.#wake = new AbortController();
			});
		}
	}

	/** Removes a record that has come back with an older copy of the store, unless another VM does so first. */
	async #removeAgain(key: string): Promise<void> {
		const {clock, random, writer, logger} = this.options;
		const restoredMs = clock.now();
		await clock.sleep(random.float() * removalSpreadMs, this.#stopped.signal);
		if (this.#stopped.signal.aborted || this.#removedMs.get(key)! > restoredMs) {
			return;
		}

		try {
			await writer.remove(key);
			logger.info('Removed the record of an entry VM that had left before the store was restored.', {record: key});
		} catch (err) {
			logger.warn('Cannot remove the record of an entry VM that had left; other VMs ignore it once it is stale.', {record: key, error: errorMessage(err)});
		}
	}

	async #removeEarlierStarts(): Promise<void> {
		const {writer, self} = this.options;
		for (const [key, {vm}] of this.#entries) {
			if (vm.id === self.id && vm.startId < self.startId) {
				await writer.remove(key);
			}
		}
	}

	#apply(records: readonly KeyedRecord[]): void {
		for (const {key, value} of records) {
			const entry = value && readEntry(value);
			if (entry) {
				this.#removedMs.delete(key);
				this.#entries.set(key, entry);
			} else {
				this.#noteRemoval(key);
				if (value !== undefined) {
					this.options.logger.warn('Ignored a record that does not describe an entry VM.', {record: key.slice(0, 80), bytes: value.length});
				}

				this.#entries.delete(key);
			}
		}
	}

	/** Remembers a removal for as long as a copy of the record could count. */
	#noteRemoval(key: string): void {
		const now = this.options.clock.now();
		this.#removedMs.delete(key);
		this.#removedMs.set(key, now);
		for (const [other, removedMs] of this.#removedMs) {
			if (now - removedMs < maxRecordAgeMs) {
				break;
			}

			this.#removedMs.delete(other);
		}
	}
}

/** Each start has its own key, so that a late write by one start does not overwrite the record of another. */
function keyOf(vm: Vm): string {
	return `${vm.id} ${vm.startId}`;
}

function readEntry(value: Uint8Array): VmEntry | undefined {
	let json: unknown;
	try {
		json = JSON.parse(new TextDecoder().decode(value));
	} catch {
		// Invalid JSON is handled like a record that does not describe an entry VM: the caller logs it.
		return undefined;
	}

	const {success, data} = entrySchema.safeParse(json);
	if (!success) {
		return undefined;
	}

	const {wroteMs, ...vm} = data;
	return {vm: {...vm, role: 'entry', state: 'live'}, wroteMs};
}
