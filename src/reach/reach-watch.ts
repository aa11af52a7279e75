import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import {PendingReplies, type Link, type LinkMessage} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import type {Random} from '../random/index.js';
import {TargetReach, type TargetFailure} from './target-reach.js';

/** Targets that are probed before an entry VM counts as cut off, of as many services as possible, and at each check after. */
const probesBeforeCut = 4;
const probesPerCheck = 2;
/** Time between the checks whether an entry VM is still cut off. */
const checkIntervalMs: Ms = 500;
/** Time without a check after one that has found targets within reach, as probes are not free. */
const pauseMs: Ms = 1000;
/** Time that a peer has to reply; it may have to probe targets and ask its own peers. */
const replyTimeoutMs: Ms = 1200;
/** Maximum number of peers that are asked at a time. */
const maxAsked = 4;
/** Maximum number of entry VMs between one that asks and one that replies: the leader of its cell and that of another one. */
const maxHops = 2;
/** Maximum number of entry VMs whose zones are remembered; the oldest are dropped first. */
const maxZones = 1000;

/** Link message about the reach of targets. */
export type ReachMessage = LinkMessage & {type: 'reach-request' | 'reach-reply' | 'reach-zone'};

/** A target that can be probed. */
export interface ProbeableTarget {
	readonly id: string;
	readonly entry: {readonly service: string};
}

/** Dependencies of {@link ReachWatch}. */
export interface ReachWatchOptions<Target extends ProbeableTarget> {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly random: Random;
	readonly zone: string;
	/** Returns the address at which this entry VM takes requests of callers. */
	readonly callersAddress: () => string;
	readonly links: () => readonly Link[];
	/** Targets that are ready. */
	readonly targets: () => readonly Target[];
	/** Resolves to whether a target responds. */
	readonly probe: (target: Target) => Promise<boolean>;
	/** Called when this entry VM is cut off, and when that has ended. */
	readonly onChange?: (isCutOff: boolean) => void;
}

/**
 * Finds out when this entry VM is partitioned from all targets while other entry VMs reach some: several targets fail,
 * probes of further ones too, and a peer says that it reaches one. Where no peer does, the targets are down, and nothing
 * would be gained by leaving requests to others. Ends as soon as one target responds over a new connection: open ones may
 * live on while new ones are refused.
 *
 * @example
 * watch.recordFailed('engine-1');
 * const address = watch.helper;
 */
export class ReachWatch<Target extends ProbeableTarget> {
	static create<Target extends ProbeableTarget>(options: ReachWatchOptions<Target>): ReachWatch<Target> {
		return new ReachWatch(options);
	}

	readonly #reach = TargetReach.create();
	readonly #replies: PendingReplies<{readonly callers: string | null}>;
	#helpers: readonly string[] = [];
	/** Zones of entry VMs, by their addresses for callers. */
	readonly #zones = new Map<string, string>();
	#isChecking = false;
	/** Whether the check in progress has found out whether this entry VM is cut off. */
	#hasVerdict = false;
	readonly #waiting = new Set<() => void>();
	#pausedUntilMs: Ms = -Infinity;
	/** Time of the first failure of the cut. */
	#cutMs: Ms = Infinity;
	#isClosed = false;
	#turn = 0;

	private constructor(private readonly options: ReachWatchOptions<Target>) {
		this.#replies = PendingReplies.create(options.clock);
	}

	/** Whether no target can be reached from here, but from other entry VMs. */
	get isCutOff(): boolean {
		return this.#helpers.length > 0;
	}

	/** Address for callers of an entry VM that reaches targets, another one at each call; `undefined` unless this one is cut off. */
	get helper(): string | undefined {
		return this.helperWhere(() => true);
	}

	/** Returns the address for callers of an entry VM that reaches targets and is in a zone that is allowed; the zone is `undefined` if it is not known. */
	helperWhere(allows: (zone: string | undefined) => boolean): string | undefined {
		const helpers = this.#helpers.filter(helper => allows(this.#zones.get(helper)));
		return helpers[this.#turn++ % helpers.length];
	}

	/** Records a response of a target, over a connection that was begun at a time; without one, over a connection that may have been open for long. */
	recordReached(begunMs: Ms = -Infinity): void {
		const {clock, logger} = this.options;
		const now = clock.now();
		const {isSuspicious, failed, failedMs} = this.#reach;
		this.#reach.recordReached(begunMs, now);
		if (isSuspicious && !this.#reach.isSuspicious) {
			logger.info('A response has ended the suspicion that no target can be reached.', {
				connection: begunMs >= failedMs ? 'new' : 'open', failed: failed.slice(0, probesBeforeCut), since_ms: Math.round(now - failedMs), was_cut_off: this.isCutOff,
			});
		}

		if (this.isCutOff && begunMs >= this.#cutMs && !this.#reach.isSuspicious) {
			this.#endCut();
		}
	}

	#endCut(): void {
		const {logger, onChange} = this.options;
		this.#helpers = [];
		logger.warn('Targets can be reached again.');
		onChange?.(false);
	}

	/** Records that a target could not be reached, or did not respond. */
	recordFailed(target: string, failure: TargetFailure = 'response'): void {
		this.#reach.recordFailed(target, failure, this.options.clock.now());
		if (this.#reach.isSuspicious) {
			this.#startCheck();
		}
	}

	/**
	 * Resolves with whether this entry VM is cut off, for a request of which no byte could be sent to any of its targets.
	 * Checks that first if it is not known, which takes `maxMs` at most.
	 */
	async confirmCutOff(maxMs: Ms, signal: AbortSignal): Promise<boolean> {
		this.#startCheck();
		if (!this.isCutOff && this.#isChecking && !this.#hasVerdict && !signal.aborted) {
			const ended = new AbortController();
			const end = () => {
				ended.abort();
			};

			signal.addEventListener('abort', end);
			this.#waiting.add(end);
			await this.options.clock.sleep(maxMs, ended.signal);
			this.#waiting.delete(end);
			signal.removeEventListener('abort', end);
		}

		return this.isCutOff;
	}

	/** Handles a message of a peer. */
	receive(link: Link, message: ReachMessage): void {
		if (message.type === 'reach-reply') {
			this.#replies.reply(link, message.id, {callers: message.callers});
		} else if (message.type === 'reach-zone') {
			this.#recordZone(message.callers, message.zone);
		} else {
			void this.#answer(link, message.id, message.hops);
		}
	}

	#recordZone(callers: string, zone: string): void {
		this.#zones.delete(callers);
		this.#zones.set(callers, zone);
		if (this.#zones.size > maxZones) {
			this.#zones.delete(this.#zones.keys().next().value!);
		}
	}

	/** Ends the questions that were sent over a link. */
	linkLost(link: Link): void {
		this.#replies.linkLost(link);
	}

	/** Stops the checks. */
	close(): void {
		this.#isClosed = true;
	}

	#startCheck(): void {
		if (!this.#isChecking && !this.#isClosed && this.options.clock.now() >= this.#pausedUntilMs) {
			this.#isChecking = true;
			this.#hasVerdict = false;
			void this.#check();
		}
	}

	/** Tells those that wait that it is known whether this entry VM is cut off. */
	#giveVerdict(): void {
		this.#hasVerdict = true;
		for (const end of this.#waiting) {
			end();
		}
	}

	/** Checks until a target responds over a new connection, or no entry VM reaches one. */
	async #check(): Promise<void> {
		const {clock, logger} = this.options;
		const startedMs = clock.now();
		let wasCutOff = false;
		try {
			let isReached = await this.#probe(probesBeforeCut);
			while (!isReached && !this.#isClosed) {
				const replies = await this.#ask(0, {
					onKnown: helper => {
						// One is enough; the others may take long to reply.
						if (this.#reach.isSuspicious && !this.isCutOff) {
							this.#setHelpers([helper], startedMs);
						}
					},
				});
				// A response may have arrived meanwhile.
				if (!this.#reach.isSuspicious && !this.isCutOff) {
					break;
				}

				const {helpers, unknown, silent} = replies;
				if (helpers.length > 0) {
					this.#setHelpers(helpers, startedMs);
				} else {
					logger.warn('No target can be reached, from other entry VMs that replied either.', {...replies, failed: this.#reach.failed.length, was_cut_off: this.isCutOff});
					// Peers that do not reply may reach targets as before.
					if (unknown > 0 && silent === 0) {
						this.#setHelpers([], startedMs);
					}
				}

				wasCutOff ||= this.isCutOff;
				this.#giveVerdict();
				await clock.sleep(checkIntervalMs);
				isReached = await this.#probe(probesPerCheck);
			}

			// Failures of requests that were in progress may have come after the probe was sent.
			if (isReached && this.isCutOff) {
				this.#endCut();
			}
		} catch (err) {
			logger.error('Cannot check which targets can be reached.', {error: errorMessage(err)});
		} finally {
			this.#isChecking = false;
			// After a cut, the next one may be near.
			this.#pausedUntilMs = wasCutOff ? -Infinity : clock.now() + pauseMs;
			this.#giveVerdict();
		}
	}

	/** Sets the entry VMs that reach targets, of which there are some while this one counts as cut off. */
	#setHelpers(helpers: readonly string[], suspectedMs: Ms): void {
		const {clock, logger, onChange} = this.options;
		const wasCutOff = this.isCutOff;
		this.#helpers = helpers;
		if (this.isCutOff && !wasCutOff) {
			this.#cutMs = Math.min(this.#reach.failedMs, clock.now());
			this.#giveVerdict();
			logger.warn('Cut off from all targets, which others reach.', {failed: this.#reach.failed.slice(0, probesBeforeCut), helpers, took_ms: Math.round(clock.now() - suspectedMs)});
		}

		if (this.isCutOff !== wasCutOff) {
			onChange?.(this.isCutOff);
		}
	}

	/** Probes some targets, of as many services as possible, and resolves to whether one responds. */
	async #probe(count: number): Promise<boolean> {
		const startedMs = this.options.clock.now();
		const {targets, probe, random} = this.options;
		const shuffled = targets().map(target => ({target, order: random.float()})).toSorted((a, b) => a.order - b.order).map(({target}) => target);
		const services = new Set<string>();
		const first = shuffled.filter(({entry: {service}}) => !services.has(service) && services.add(service));
		const chosen = [...first, ...shuffled.filter(target => !first.includes(target))].slice(0, count);
		const results = await Promise.all(chosen.map(async target => probe(target)));
		const isReached = results.includes(true);
		if (isReached) {
			this.recordReached(startedMs);
		} else {
			for (const {id} of chosen) {
				this.recordFailed(id, 'connection');
			}
		}

		return isReached;
	}

	/** Resolves with the addresses for callers of entry VMs that reach targets, and the numbers of peers that know of one, know of none, or did not reply. */
	async #ask(hops: number, {except, onKnown}: {except?: Link; onKnown?: (callers: string) => void}): Promise<{readonly helpers: readonly string[]; readonly known: number; readonly unknown: number; readonly silent: number}> {
		const {links, random, zone} = this.options;
		// Zones are partitioned as a whole more often than entry VMs of several zones are.
		const order = new Map(links().map(link => [link, (link.peer.zone === zone ? 1 : 0) + random.float()]));
		const asked = [...order.keys()].filter(link => link !== except).toSorted((a, b) => order.get(a)! - order.get(b)!).slice(0, maxAsked);
		const replies = await Promise.all(asked.map(async link => {
			const reply = await this.#replies.request(link, replyTimeoutMs / (hops + 1), id => link.send({type: 'reach-request', id, hops: hops + 1}));
			if (typeof reply !== 'string' && reply.callers !== null) {
				onKnown?.(reply.callers);
			}

			return reply;
		}));
		const told = replies.flatMap(reply => typeof reply === 'string' ? [] : [reply.callers]);
		const known = told.filter(callers => callers !== null);
		return {
			helpers: [...new Set(known)], known: known.length, unknown: told.length - known.length, silent: replies.length - told.length,
		};
	}

	/** Resolves with the first reply that names an entry VM which reaches targets; `null` if none does. */
	async #askForOne(hops: number, except: Link): Promise<string | null> {
		let onKnown: (callers: string) => void = () => undefined;
		const first = new Promise<string>(resolve => {
			onKnown = resolve;
		});
		const askAll = async () => {
			await this.#ask(hops, {except, onKnown});
			return null;
		};

		return Promise.race([first, askAll()]);
	}

	async #answer(link: Link, id: number, hops: number): Promise<void> {
		const {clock, callersAddress, logger} = this.options;
		const startedMs = clock.now();
		let callers: string | null = null;
		try {
			const isReached = !this.isCutOff && (this.#reach.isFresh(startedMs) || await this.#probe(probesPerCheck));
			callers = isReached ? callersAddress() : (hops < maxHops ? await this.#askForOne(hops, link) : null);
			logger.info('Told a peer whether targets can be reached.', {
				peer: link.peer.name, hops, is_reached: isReached, callers, failed: this.#reach.failed.length, took_ms: Math.round(clock.now() - startedMs),
			});
		} catch (err) {
			// Without a reply, the peer would wait for its whole time.
			logger.error('Cannot tell a peer whether targets can be reached.', {peer: link.peer.name, error: errorMessage(err)});
		}

		const zone = callers === null ? undefined : (callers === callersAddress() ? this.options.zone : this.#zones.get(callers));
		if (callers !== null && zone !== undefined) {
			link.send({type: 'reach-zone', callers, zone});
		}

		link.send({type: 'reach-reply', id, callers});
	}
}
