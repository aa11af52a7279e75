import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import {
	linkLimits, passOn, type Link, type LinkMessage, type RelayMesh,
} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import type {KeyedRecord, KeyedWriter, SnapshotOrigin} from '../topics/index.js';
import {isRequestId} from './request-id.js';
import {partsKey, weightOf, type Suspicion} from './suspicion.js';
import {SuspicionLedger, type LedgerChange} from './suspicion-ledger.js';
import {decodeRecord, encodeRecord, recordKey} from './suspicion-record.js';

/**
 * Weight of the evidence of a crash against a request, by how far its response had got. Engines that are busy have many
 * streams with events in progress, so that one more crash is needed to tell these from the cause.
 */
const weights = {begun: 1, streaming: 0.75, waiting: 0.5} as const;
/** Interval at which old suspicions are dropped, and the records in the store are compared with the quarantined sets. */
const reconcileMs: Ms = 2000;
/** Maximum number of requests of one crash that come under suspicion: those that are suspected already, then those that were sent last. */
const maxRequestsPerCrash = 32;
/** Maximum number of shared parts of a prompt that come under suspicion. */
const maxSuspectedParts = 256;
/** Maximum number of suspicions in a message; peers take 500. */
const maxMessageSuspicions = 250;

/** What a request is rejected for: a part of its prompt, or the whole request. */
export type QuarantineCause = 'prompt' | 'request';

/** Link message with evidence. */
export type SuspicionMessage = LinkMessage & {type: 'prompt-suspicions'};

/** Operations of the mesh that the quarantine uses. */
export type QuarantineMesh = Pick<RelayMesh, 'leader' | 'isInCell' | 'broadcast' | 'broadcastToLeaders'>;

/** A request that a crash of its target cut off. */
export interface CrashedRequest {
	/** Prompt parts that other requests may share, and the id of the request. */
	readonly parts: readonly string[];
	/** Whether it only waited, its response had begun as a stream, or events of one had arrived. */
	readonly progress: keyof typeof weights;
	readonly sentMs: Ms;
	readonly brokenMs: Ms;
	/** Latest time before the request was sent at which this entry VM knows the target to have been running. */
	readonly aliveMs?: Ms | undefined;
}

/** Dependencies of {@link PromptQuarantine}. */
export interface PromptQuarantineOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly mesh: () => QuarantineMesh | undefined;
	/** Writer of the topic in which quarantined sets outlast the processes. */
	readonly writer: KeyedWriter;
}

/**
 * Rejects requests that crash targets, or have prompt parts that do, at every entry VM: evidence goes over the links to
 * the leader of the cell, which passes it on and keeps the quarantined sets in the store. The parts of a request are the
 * ids of its prompt parts that others may share, and its own id (`requestId`).
 *
 * @example
 * quarantine.crashed('engine-1 1000', requests);
 * quarantine.isQuarantined(['a', 'b', requestId(request)]);
 */
export class PromptQuarantine {
	static create(options: PromptQuarantineOptions): PromptQuarantine {
		return new PromptQuarantine(options);
	}

	readonly #ledger = SuspicionLedger.create();
	readonly #watchers = new Set<{readonly parts: () => readonly string[]; readonly onQuarantined: (cause: QuarantineCause) => void}>();
	/** Keys of the records in the store. */
	readonly #recordKeys = new Set<string>();
	#cancelTimer: CancelTimer = () => undefined;
	#isReconciling = false;

	private constructor(private readonly options: PromptQuarantineOptions) {}

	/** Starts to keep the records in the store up to date. */
	start(): void {
		this.#cancelTimer = this.options.clock.after(reconcileMs, () => {
			void this.#reconcile();
			this.start();
		});
	}

	/** Stops the timer. */
	close(): void {
		this.#cancelTimer();
	}

	/** Number of quarantined sets of parts. */
	get size(): number {
		return this.#ledger.quarantined().length;
	}

	/** Whether anything is under suspicion; if not, the id of a request makes no difference. */
	get hasSuspicions(): boolean {
		return this.#ledger.size > 0;
	}

	/** Whether a request with these parts is to be rejected. */
	isQuarantined(parts: readonly string[]): boolean {
		return this.#ledger.isQuarantined(parts);
	}

	/** Returns what a request with these parts is to be rejected for; `undefined` if it is not. */
	causeOf(parts: readonly string[]): QuarantineCause | undefined {
		const quarantined = this.#ledger.findQuarantined(parts);
		return quarantined && causeIn(quarantined);
	}

	/** Calls `onQuarantined` once a request with these parts, which are asked for only then, is to be rejected; returns a function that ends the watch. */
	watch(parts: () => readonly string[], onQuarantined: (cause: QuarantineCause) => void): () => void {
		const watcher = {parts, onQuarantined};
		this.#watchers.add(watcher);
		return () => {
			this.#watchers.delete(watcher);
		};
	}

	/** Handles a crash of a target, which is named by `crash` with its incarnation and has ended by now. Requests whose response had begun are suspected before those that only waited. */
	crashed(crash: string, requests: readonly CrashedRequest[]): void {
		const goneMs = this.options.clock.now();
		const begun = requests.filter(({progress}) => progress !== 'waiting');
		// A request that ran for long before the crash is less likely to be its cause.
		const suspects = (begun.length > 0 ? begun : requests).toSorted((a, b) => Number(this.#ledger.isSuspected(b.parts)) - Number(this.#ledger.isSuspected(a.parts)) || b.sentMs - a.sentMs);
		this.#apply({
			suspicions: suspects.slice(0, maxRequestsPerCrash).flatMap(({parts, progress, sentMs, brokenMs, aliveMs}) => parts.length === 0
				? []
				: {
					parts: limitParts(parts), crashes: new Map([[crash, weights[progress]]]), sentMs, crashedMs: brokenMs, aliveMs, goneMs, quarantinedMs: undefined,
				}),
			answered: new Map(),
		});
	}

	/** Handles an answer to a request with these parts. */
	answered(parts: readonly string[]): void {
		const now = this.options.clock.now();
		const change = this.#ledger.answered(parts, now);
		this.#passOnCleared(change, undefined);
		this.#passOnExplained(change.explained, undefined);
	}

	/** Handles evidence of a peer. */
	receive(link: Link, message: SuspicionMessage): void {
		const now = this.options.clock.now();
		this.#apply({
			suspicions: message.suspicions.map(([parts, crashes, sentAgoMs, crashedAgoMs, quarantinedAgoMs]) => ({
				parts: parts.toSorted(), crashes: new Map(crashes), sentMs: now - sentAgoMs, crashedMs: now - crashedAgoMs, goneMs: now, quarantinedMs: quarantinedAgoMs === null ? undefined : now - quarantinedAgoMs,
			})),
			answered: new Map(message.answered.map(([part, agoMs]) => [part, now - agoMs])),
		}, link);
	}

	/** Sends all suspicions to a peer that has just been linked, and the answers to quarantined parts, by which it knows parts that were answered once. */
	linkUp(link: Link): void {
		for (const suspicions of chunk(this.#ledger.all(), maxMessageSuspicions)) {
			const parts = suspicions.filter(({quarantinedMs}) => quarantinedMs !== undefined).flatMap(suspicion => suspicion.parts);
			link.send(this.#encode(suspicions, this.#ledger.answersTo([...new Set(parts)].slice(0, linkLimits.promptParts))));
		}
	}

	/**
	 * Applies all records of the store. A quarantine whose record is missing has been lifted by another entry VM, unless the
	 * store has come back from an older copy: its record is then written again.
	 */
	applySnapshot(records: readonly KeyedRecord[], origin: SnapshotOrigin): void {
		const keys = new Set(records.map(({key}) => key));
		const missing = [...this.#recordKeys].filter(key => !keys.has(key));
		this.#recordKeys.clear();
		if (origin === 'continued') {
			this.applyRecords(missing.map(key => ({key, value: undefined})));
		}

		this.applyRecords(records);
	}

	/** Applies records of the store that follow on those before. */
	applyRecords(records: readonly KeyedRecord[]): void {
		for (const {key, value} of records) {
			const suspicion = value && decodeRecord(value, this.#clockReading());
			if (suspicion) {
				this.#recordKeys.add(key);
				this.#apply({suspicions: [suspicion], answered: new Map()});
				continue;
			}

			this.#recordKeys.delete(key);
			if (value) {
				this.options.logger.warn('Ignored a record that describes no quarantine.', {record: key.slice(0, 80), bytes: value.length});
			}

			for (const {parts} of this.#ledger.quarantined().filter(quarantined => recordKey(quarantined.parts) === key)) {
				this.#ledger.remove(parts);
				this.options.logger.info('Lifted a quarantine that another entry VM has lifted.', {parts});
			}
		}
	}

	/** Applies evidence, and passes on what is new. */
	#apply({suspicions, answered}: {suspicions: readonly Suspicion[]; answered: ReadonlyMap<string, Ms>}, from?: Link): void {
		const now = this.options.clock.now();
		for (const [part, answeredMs] of answered) {
			const change = this.#ledger.answered([part], answeredMs);
			this.#passOnCleared(change, from);
			this.#passOnExplained(change.explained, from);
		}

		const changes = suspicions.map(suspicion => this.#ledger.add(suspicion, now));
		const added = changes.flatMap(change => change.added ?? []);
		// A later change may explain what an earlier one has quarantined.
		const quarantined = changes.flatMap(change => change.quarantined).filter(({parts}) => this.#ledger.isQuarantined(parts));
		this.#log(added, quarantined, from);
		for (const news of added.length > 0 ? chunk([...added, ...quarantined], maxMessageSuspicions) : []) {
			this.#passOn(this.#encode(news, new Map()), from);
		}

		// The sender may lack the answers that have ended a quarantine here.
		this.#passOnExplained(changes.flatMap(change => change.explained), undefined);

		// Parts that this entry VM knows to be sound are news to the sender of the suspicion.
		if (from) {
			for (const change of changes) {
				this.#passOnCleared(change, undefined);
			}

			this.#reply(from, changes);
		}

		if (quarantined.length > 0) {
			this.#onQuarantined();
		}
	}

	#passOnCleared({cleared}: LedgerChange, from: Link | undefined): void {
		if (cleared.size > 0) {
			if (!from) {
				this.options.logger.info('Cleared suspected prompt parts or requests: a request with them was answered.', {parts: partsKey([...cleared.keys()]), quarantined: this.size});
			}

			this.#passOn(this.#encode([], cleared), from);
		}
	}

	/** Tells the others of the answers without which a set of parts would stay quarantined there. */
	#passOnExplained(explained: readonly Suspicion[], from: Link | undefined): void {
		for (const suspicion of explained) {
			this.options.logger.info('Ended a quarantine: other prompt parts or requests explain its crashes.', {...this.#logFields(suspicion), source: from?.peer.name ?? 'self'});
			this.#passOn(this.#encode([], this.#ledger.answersTo(suspicion.parts)), from);
		}
	}

	/**
	 * Sends the peer from which evidence came the answers that contradict it: it may have had no link when they were passed
	 * on, and leaders pass on only what is new to them.
	 */
	#reply(link: Link, changes: readonly LedgerChange[]): void {
		const {clock, logger, mesh} = this.options;
		const leader = mesh()?.leader();
		const isToldOfCleared = !leader || leader === link;
		const answers = new Map(changes.flatMap(({cleared, contradicting}) => [...contradicting, ...(isToldOfCleared ? [] : cleared)]));
		for (const entries of chunk([...answers], linkLimits.promptParts)) {
			const answered = new Map(entries);
			logger.info('Told a peer of answers to requests with parts that it suspects.', {
				peer: link.peer.name, parts: partsKey([...answered.keys()]), age_ms: Math.round(clock.now() - Math.max(...answered.values())),
			});
			link.send(this.#encode([], answered));
		}
	}

	#log(added: readonly Suspicion[], quarantined: readonly Suspicion[], from: Link | undefined): void {
		const {logger} = this.options;
		const source = from?.peer.name ?? 'self';
		for (const suspicion of from ? [] : added) {
			logger.info('Suspected a request at a crash.', this.#logFields(suspicion));
		}

		for (const suspicion of quarantined) {
			logger.warn(causeIn(suspicion) === 'request' ? 'Quarantined a request that crashes targets.' : 'Quarantined prompt parts that crash targets.', {...this.#logFields(suspicion), source});
		}
	}

	/** Rejects the requests in progress that have just been quarantined, and stores the quarantine. */
	#onQuarantined(): void {
		for (const {parts, onQuarantined} of this.#watchers) {
			const cause = this.causeOf(parts());
			if (cause) {
				onQuarantined(cause);
			}
		}

		void this.#reconcile();
	}

	#passOn(message: SuspicionMessage, from: Link | undefined): void {
		const mesh = this.options.mesh();
		if (mesh) {
			passOn(mesh, message, from);
		}
	}

	/** Drops old suspicions and, at a leader, makes the records in the store match the quarantined sets. */
	async #reconcile(): Promise<void> {
		const {writer, logger, clock, mesh} = this.options;
		this.#ledger.expire(clock.now());
		if (this.#isReconciling || !mesh() || mesh()?.leader()) {
			return;
		}

		this.#isReconciling = true;
		try {
			const quarantined = new Map(this.#ledger.quarantined().map(suspicion => [recordKey(suspicion.parts), suspicion]));
			for (const [key, suspicion] of quarantined) {
				if (!this.#recordKeys.has(key)) {
					await writer.put(key, encodeRecord(suspicion, this.#clockReading()));
					this.#recordKeys.add(key);
				}
			}

			for (const key of this.#recordKeys) {
				if (!quarantined.has(key)) {
					await writer.remove(key);
					this.#recordKeys.delete(key);
				}
			}
		} catch (err) {
			logger.warn('Cannot write the quarantines to the store; retrying.', {error: errorMessage(err), retry_ms: reconcileMs});
		} finally {
			this.#isReconciling = false;
		}
	}

	#encode(suspicions: readonly Suspicion[], answered: ReadonlyMap<string, Ms>): SuspicionMessage {
		const now = this.options.clock.now();
		const ago = (ms: Ms) => Math.max(0, now - ms);
		return {
			type: 'prompt-suspicions',
			suspicions: suspicions.map(({parts, crashes, sentMs, crashedMs, quarantinedMs}) => [
				[...parts], [...crashes], ago(sentMs), ago(crashedMs), quarantinedMs === undefined ? null : ago(quarantinedMs),
			]),
			answered: [...answered].map(([part, answeredMs]): [string, Ms] => [part, ago(answeredMs)]),
		};
	}

	#logFields(suspicion: Suspicion): Record<string, unknown> {
		const now = this.options.clock.now();
		return {
			parts: partsKey(suspicion.parts), crashes: [...suspicion.crashes.keys()], weight: weightOf(suspicion), age_ms: Math.round(now - suspicion.crashedMs), alive_age_ms: suspicion.aliveMs === undefined || suspicion.aliveMs === -Infinity ? undefined : Math.round(now - suspicion.aliveMs),
		};
	}

	#clockReading() {
		const {clock} = this.options;
		return {nowMs: clock.now(), wallMs: clock.wall()};
	}
}

function causeIn({parts}: Suspicion): QuarantineCause {
	return parts.every(part => isRequestId(part)) ? 'request' : 'prompt';
}

/** Returns the parts that come under suspicion, sorted; the id of the request is always one of them. */
function limitParts(parts: readonly string[]): readonly string[] {
	const shared = parts.filter(part => !isRequestId(part)).slice(0, maxSuspectedParts);
	return [...new Set([...shared, ...parts.filter(part => isRequestId(part))])].toSorted();
}

function chunk<T>(items: readonly T[], size: number): ReadonlyArray<readonly T[]> {
	return Array.from({length: Math.ceil(items.length / size)}, (_, index) => items.slice(index * size, (index + 1) * size));
}
