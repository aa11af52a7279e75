import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {Link, LinkMessage, RelayMesh} from '../links/index.js';
import type {SpeedObservation} from './engine-speeds.js';
import {ExchangeNews, type SentNews} from './exchange-news.js';
import type {PromptLoadListener, PromptLoads} from './prompt-loads.js';
import type {LengthRow} from './prompt-mix.js';
import type {EngineKey, WorkSource, WorkSum} from './prompt-work.js';
import {SentWork, type WorkRole} from './sent-work.js';

/** Minimum time between two messages to a peer, and between two looks for changes. Three of them, by way of two leaders, are to take less than 900 ms; shorter ones take processor time of the leader, which hosts the stage pools. */
const minIntervalMs: Ms = 290;
/** Time in which changes that come together are collected, such as the end of one prompt and the start of another. */
const collectMs: Ms = 5;
/** Time after which values are checked without a change, as those that are not 0 have to be repeated. With the time between repeats, less than that for which values count in full. */
const repeatCheckMs: Ms = 900;

/** Link message about prompt work. */
export type PromptMessage = LinkMessage & {type: 'prompt-work'};

/** Operations of the mesh that the exchange uses. */
export type PromptMesh = Pick<RelayMesh, 'leader' | 'isInCell' | 'links'>;

/** Dependencies of {@link PromptExchange}. */
export interface PromptExchangeOptions {
	readonly clock: Clock;
	readonly mesh: () => PromptMesh | undefined;
	readonly loads: () => Pick<PromptLoads, 'work' | 'speeds' | 'addLengths'>;
}

/**
 * Exchanges prompt work with other entry VMs: a member tells the leader of its cell its own work, a leader tells each
 * member that of all others and the leaders of other cells that of its cell. Measured speeds and lengths of prompts are
 * passed on in the same messages. Only changes are sent, at most one message in 290 ms to each peer.
 *
 * @example
 * const exchange = PromptExchange.create({clock, mesh, loads});
 * exchange.receive(link, message);
 */
export class PromptExchange implements PromptLoadListener {
	static create(options: PromptExchangeOptions): PromptExchange {
		return new PromptExchange(options);
	}

	readonly #sent = new Map<Link, SentWork>();
	readonly #news = ExchangeNews.create();
	#cancelFlush: CancelTimer | undefined;
	#flushAtMs: Ms = Infinity;
	#flushedMs: Ms = -Infinity;

	private constructor(private readonly options: PromptExchangeOptions) {}

	onWork(): void {
		this.#scheduleChange();
	}

	onObservation(engine: EngineKey, observation: SpeedObservation): void {
		this.#news.addSpeed(engine, observation, undefined);
		this.#scheduleChange();
	}

	onLength(service: string, row: LengthRow): void {
		this.#news.addLengths(service, [row], undefined);
		this.#scheduleChange();
	}

	/** Handles a message of a peer. */
	receive(link: Link, {isFull, rows, speeds, lengths}: PromptMessage): void {
		const now = this.options.clock.now();
		const loads = this.options.loads();
		// A member has nothing to pass on.
		const isLeading = !this.options.mesh()?.leader();
		loads.work.report(link, {rows, isFull}, now);
		for (const [engine, ratioPercent, weightPercent] of speeds) {
			const observation = {ratio: ratioPercent / 100, weight: weightPercent / 100};
			loads.speeds.observe(engine, observation, now);
			if (isLeading) {
				this.#news.addSpeed(engine, observation, link);
			}
		}

		for (const [service, added] of lengths) {
			loads.addLengths(service, added);
			if (isLeading) {
				this.#news.addLengths(service, added, link);
			}
		}

		if (isLeading) {
			this.#scheduleChange();
		}
	}

	/** Schedules a message to a peer that has just been linked. */
	linkUp(): void {
		this.#scheduleChange();
	}

	/** Drops the work that a lost peer has reported. */
	linkLost(link: Link): void {
		this.options.loads().work.drop(link);
		this.#sent.delete(link);
		this.#scheduleChange();
	}

	/** Ends the timer; nothing is sent after that. */
	close(): void {
		this.#cancelFlush?.();
		this.#flushAtMs = -Infinity;
	}

	#scheduleChange(): void {
		this.#schedule(Math.max(this.options.clock.now() + collectMs, this.#flushedMs + minIntervalMs));
	}

	#schedule(atMs: Ms): void {
		if (atMs < this.#flushAtMs) {
			this.#cancelFlush?.();
			this.#flushAtMs = atMs;
			this.#cancelFlush = this.options.clock.after(Math.max(0, atMs - this.options.clock.now()), () => {
				this.#flushAtMs = Infinity;
				this.#flushedMs = this.options.clock.now();
				this.#flush();
			});
		}
	}

	#flush(): void {
		const mesh = this.options.mesh();
		const leader = mesh?.leader();
		const links = leader ? [leader] : mesh?.links() ?? [];
		for (const link of this.#sent.keys()) {
			if (!links.includes(link)) {
				this.#sent.delete(link);
			}
		}

		if (leader) {
			// What others have reported while this entry VM led is in the sums of the leader now.
			this.options.loads().work.dropOthers(leader);
			this.#send(leader, {
				role: 'own', work: this.#ownWork(), pick: own => own, news: this.#news.select(source => source === undefined),
			});
		} else if (mesh && links.length > 0) {
			this.#sendAsLeader(links, new Set(links.filter(link => mesh.isInCell(link.peer.zone))));
		}

		this.#news.clear();
		if ([...this.#sent.values()].some(sent => sent.hasWork)) {
			this.#schedule(this.options.clock.now() + repeatCheckMs);
		}
	}

	#sendAsLeader(links: readonly Link[], members: ReadonlySet<Link>): void {
		const sums = this.#sumWork(members);
		let cellNews: SentNews | undefined;
		for (const link of links) {
			if (members.has(link)) {
				this.#send(link, {
					role: 'others', work: sums, pick: ({all, bySource}) => subtract(all, bySource.get(link)), news: this.#news.except(link),
				});
			} else {
				cellNews ??= this.#news.select(source => source === undefined || members.has(source as Link));
				this.#send(link, {
					role: 'cell', work: sums, pick: ({cell}) => cell, news: cellNews,
				});
			}
		}
	}

	#send<Known>(link: Link, {role, work, pick, news}: {role: WorkRole; work: ReadonlyMap<EngineKey, Known>; pick: (work: Known) => WorkSum; news: SentNews}): void {
		const now = this.options.clock.now();
		const known = this.#sent.get(link);
		const isFull = known?.role !== role;
		const sent = isFull ? SentWork.create(role) : known;
		this.#sent.set(link, sent);
		const rows = sent.changes(work, pick, now);
		if (!isFull && rows.length === 0 && news.speeds.length === 0 && news.lengths.length === 0) {
			return;
		}

		const isSent = link.send({
			type: 'prompt-work', isFull, rows, ...news,
		});
		if (!isSent) {
			this.#sent.delete(link);
		}
	}

	/** Returns the work of this entry VM by engine. */
	#ownWork(): ReadonlyMap<EngineKey, WorkSum> {
		const now = this.options.clock.now();
		const {work} = this.options.loads();
		return new Map(Array.from(work.ownEngines(), engine => [engine, work.own(engine, now)]));
	}

	/** Returns the work of this entry VM, of its cell and of all, and that which each peer has reported, by engine. */
	#sumWork(members: ReadonlySet<WorkSource>): WorkByEngine {
		const now = this.options.clock.now();
		const {work, speeds} = this.options.loads();
		const sums = new Map<EngineKey, EngineWork>();
		for (const engine of work.engines()) {
			const own = work.own(engine, now);
			const bySource = work.reportedBySource(engine, now, speeds.tokensPerMs / speeds.slowness(engine, now));
			const [cell, all] = [{...own}, {...own}];
			for (const [source, reported] of bySource) {
				addTo(all, reported);
				if (members.has(source)) {
					addTo(cell, reported);
				}
			}

			sums.set(engine, {
				own, cell, all, bySource,
			});
		}

		return sums;
	}
}

type EngineWork = {readonly own: WorkSum; readonly cell: WorkSum; readonly all: WorkSum; readonly bySource: ReadonlyMap<WorkSource, WorkSum>};
type WorkByEngine = ReadonlyMap<EngineKey, EngineWork>;

function subtract(all: WorkSum, part: WorkSum | undefined): WorkSum {
	return part ? {pendingTokens: all.pendingTokens - part.pendingTokens, heldTokens: all.heldTokens - part.heldTokens} : all;
}

function addTo(sum: {pendingTokens: number; heldTokens: number}, work: WorkSum): void {
	sum.pendingTokens += work.pendingTokens;
	sum.heldTokens += work.heldTokens;
}
