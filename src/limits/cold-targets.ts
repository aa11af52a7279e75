import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {
	passOn, type Link, type LinkMessage, type RelayMesh,
} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import type {RelayTarget, TargetEntry, TargetRegistry} from '../registry/index.js';
import type {ColdStart} from '../routes/index.js';
import {permitRate, strictColdBound, type ColdBound} from './cold-bound.js';
import {
	ColdPermits, type Permit, type PermitMessage, type PermitsMesh,
} from './cold-permits.js';
import type {TargetHealth} from './cold-watch.js';
import {ColdPhases, type ColdPhase} from './cold-phases.js';
import {ColdStatements} from './cold-statements.js';
import {judgeClaim} from './judge-claim.js';
import {judgeCold, maxInformationAgeMs, type ColdEvidence} from './judge-cold.js';
import {UnreachableTargets, type ReachFailure} from './unreachable-targets.js';

/** Time from the first link after which the news of the peers have arrived. */
const newsDelayMs: Ms = 250;
/** Number of targets out of reach at once from which the cause is more likely on this side, so that others are not told. */
const maxToldUnreachable = 2;

/** Link message about cold targets. */
export type ColdMessage = (LinkMessage & {type: 'target-cold'}) | PermitMessage;

/** Operations of the mesh that cold targets use. */
export type ColdMesh = PermitsMesh & Pick<RelayMesh, 'broadcast' | 'broadcastToLeaders' | 'isSettled'>;

/** Dependencies of {@link ColdTargets}. */
export interface ColdTargetsOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	/** Incarnation and zone of this entry VM. */
	readonly self: {readonly incarnation: string; readonly zone: string};
	readonly mesh: () => ColdMesh | undefined;
	readonly targets: Pick<TargetRegistry, 'get' | 'all'>;
	/** Returns the cold start that a service declares. */
	readonly coldStart: (service: string) => ColdStart | undefined;
	/** Bound of the settings; without one, the rate that the service tolerates. */
	readonly bound: ColdBound | undefined;
	/** Whether this entry VM reaches no target, while others do. */
	readonly isCutOff?: () => boolean;
	/** Called for each request that has taken a permit. */
	readonly onPermit?: () => void;
}

/**
 * Targets that are cold, or may be: which ones they are, and the permits that requests to them need. Targets of services
 * that declare no cold start are never cold.
 *
 * @example
 * cold.observe(target, {source: 'health', remainingMs: 1800});
 * const permit = cold.isCold(target) ? await cold.reserve(target, 0) : undefined;
 */
export class ColdTargets {
	static create(options: ColdTargetsOptions): ColdTargets {
		return new ColdTargets(options);
	}

	readonly #phases = ColdPhases.create();
	/** Cold phases that only entries of unknown age claim, until the health paths have confirmed or refuted them. */
	readonly #claims = ColdPhases.create();
	readonly #statements = ColdStatements.create();
	readonly #unreachable = UnreachableTargets.create();
	readonly #permits: ColdPermits;
	readonly #createdMs: Ms;
	#settledMs: Ms | undefined;
	#isInformed = false;
	#cancelEndWatch: CancelTimer = () => undefined;

	private constructor(private readonly options: ColdTargetsOptions) {
		const {clock, logger, self, mesh} = options;
		this.#createdMs = clock.now();
		this.#permits = ColdPermits.create({
			clock, logger, self: self.incarnation, mesh, rateOf: service => this.#rateOf(service), coldSinceMs: target => (this.#phases.at(target, clock.now()) ?? this.#claims.at(target, clock.now()))?.sinceMs,
		});
	}

	/** Number of targets that are treated as cold. */
	get size(): number {
		return [...this.options.targets.all()].filter(target => this.isCold(target)).length;
	}

	/** Whether a request to the target needs a permit. */
	isCold(target: RelayTarget): boolean {
		const coldStart = this.options.coldStart(target.entry.service);
		return coldStart !== undefined && (this.#phases.at(target.id, this.options.clock.now()) !== undefined || this.isClaimed(target) || this.#unreachable.has(target.id) || !this.#isInformedNow(coldStart));
	}

	/** Whether only an entry of unknown age tells that the target is cold, so that its health path is worth asking. */
	isClaimed(target: RelayTarget): boolean {
		return this.#claims.at(target.id, this.options.clock.now()) !== undefined;
	}

	/** Whether it is known that there is no permit for the target now. */
	isDenied(target: RelayTarget): boolean {
		return this.options.clock.now() < this.#permits.deniedUntilMs(target.id);
	}

	/** Returns the time from which there may be a permit for the target. */
	deniedUntilMs(target: RelayTarget): Ms {
		return this.#permits.deniedUntilMs(target.id);
	}

	/** Resolves with a permit for a request to a cold target that is free within `maxWaitMs`, or with the time until one is. */
	async reserve(target: RelayTarget, maxWaitMs: Ms): Promise<Permit> {
		const {id, entry: {service, zone}} = target;
		const permit = await this.#permits.reserve({target: id, service, zone}, maxWaitMs);
		if ('sendByMs' in permit) {
			this.options.onPermit?.();
		}

		return permit;
	}

	/** Handles an entry of a target that was read; `isStart` tells that it is a start that was first listed while requests are served, `isFromList` that it is of unknown age. */
	seeEntry(target: RelayTarget, entry: TargetEntry, {isStart, isFromList = false}: {isStart: boolean; isFromList?: boolean}): void {
		if (isStart) {
			this.observe(target, {source: 'start'});
		}

		const isKnown = isFromList && !this.#statements.isNews(target.id, entry);
		if (!isKnown) {
			this.#statements.record(target.id, entry);
		}

		if (entry.coldMs === undefined || entry.coldMs <= 0) {
			return;
		}

		if (isKnown) {
			this.options.logger.debug('Ignored an entry that tells that a target is cold: it tells nothing that was not read before.', {target: target.id, cold_ms: entry.coldMs});
		} else if (isFromList) {
			this.#seeClaim(target, entry.coldMs);
		} else {
			this.observe(target, {source: 'entry', remainingMs: entry.coldMs});
		}
	}

	/** Records evidence that a target is cold, and tells the other entry VMs of what they cannot see themselves. */
	observe(target: RelayTarget, evidence: ColdEvidence): void {
		const isTold = evidence.source !== 'evacuation' && (evidence.source !== 'reachable_again' || this.#isTrustedReach(target));
		this.#observe(target.id, evidence, {isTold});
	}

	/** Treats the targets of a zone as cold after its evacuation has ended: they may have become cold shortly before. */
	zoneReopened(zone: string): void {
		for (const target of this.options.targets.all()) {
			if (target.entry.zone === zone) {
				this.observe(target, {source: 'evacuation'});
			}
		}
	}

	/** Records that a target refused a connection or did not respond to a probe. */
	recordFailed(target: RelayTarget, failure: ReachFailure): void {
		if (this.options.coldStart(target.entry.service) && this.options.isCutOff?.() !== true && this.#unreachable.recordFailed(target.id, failure, this.options.clock.now())) {
			target.withdrawUnsent();
		}
	}

	/**
	 * Forgets which targets were out of reach: this entry VM is cut off from all of them, which tells nothing about them. Its
	 * peers tell of those that become cold meanwhile.
	 */
	forgetUnreachable(): void {
		this.#unreachable.clear();
	}

	/** Records a response of a target. */
	recordReached(target: RelayTarget): void {
		const isTold = this.#isTrustedReach(target);
		if (this.#unreachable.recordReached(target.id)) {
			this.#observe(target.id, {source: 'reachable_again'}, {isTold});
		}
	}

	/** Handles what the health path of a target says, or that it does not respond; `askedMs` is the time of the request to it. */
	seeHealth(target: RelayTarget, {result, coldMs}: TargetHealth, askedMs?: Ms): void {
		if (result !== 'alive') {
			// A target that does not respond in time is not known to be warm.
			this.#settleClaim(target, {askedMs: result === 'silent' ? askedMs : undefined, coldMs: undefined});
			this.recordFailed(target, result === 'gone' ? 'refused' : 'silent');
			return;
		}

		this.recordReached(target);
		this.#settleClaim(target, {askedMs, coldMs});
		if (coldMs !== undefined) {
			this.observe(target, {source: 'health', remainingMs: coldMs});
		}
	}

	/** Whether a target cannot be reached from here, so that it is worth a probe. */
	isUnreachable(target: RelayTarget): boolean {
		return this.#unreachable.has(target.id);
	}

	/** Handles a message of a peer. */
	receive(link: Link, message: ColdMessage): void {
		if (message.type === 'target-cold') {
			const {target, source, remainingMs} = message;
			this.#observe(target, {source, remainingMs}, {isTold: true, from: link});
		} else {
			this.#permits.receive(link, message);
		}
	}

	/** Tells a peer that has just been linked of the cold targets that are known here. */
	linkUp(link: Link): void {
		for (const phase of this.#phases.current(this.options.clock.now())) {
			link.send(this.#encode(phase));
		}
	}

	/** Ends the timers. */
	close(): void {
		this.#cancelEndWatch();
	}

	/** Ends the requests that were sent over a link. */
	linkLost(link: Link): void {
		this.#permits.linkLost(link);
	}

	/** Handles an entry of unknown age that tells that its target is cold. One that hardly prolongs a known phase changes little and is not worth a request. */
	#seeClaim(target: RelayTarget, remainingMs: Ms): void {
		const {clock, coldStart} = this.options;
		const now = clock.now();
		const forMs = judgeCold({source: 'entry', remainingMs}, coldStart(target.entry.service));
		const phase = this.#phases.at(target.id, now);
		if (phase && now + forMs <= phase.untilMs + maxInformationAgeMs) {
			// Not told: entries of complete lists that are read again and again would prolong the phase for the fleet.
			this.#observe(target.id, {source: 'entry', remainingMs}, {isTold: false});
		} else if (this.#claims.observe(target.id, {source: 'entry', untilMs: now + forMs, now}) === 'began' && coldStart(target.entry.service) && !phase) {
			this.#begin(target, {source: 'entry', forMs});
		}
	}

	/** Handles what the health path says about a cold phase that only the entry claims; the others are told of one that goes on. */
	#settleClaim(target: RelayTarget, statement: {askedMs: Ms | undefined; coldMs: Ms | undefined}): void {
		const {clock, logger} = this.options;
		const now = clock.now();
		const claim = this.#claims.at(target.id, now);
		const verdict = claim ? judgeClaim(claim.seenMs, statement) : 'open';
		if (!claim || verdict === 'open') {
			return;
		}

		this.#claims.remove(target.id);
		if (verdict === 'over') {
			logger.info('A target is not cold, as its entry told: its health path says so.', {target: target.id, age_ms: Math.round(now - claim.sinceMs), rest_ms: Math.round(claim.untilMs - now)});
		} else {
			this.#observe(target.id, {source: 'entry', remainingMs: statement.coldMs ?? claim.untilMs - now}, {isTold: true});
		}
	}

	/** Handles the beginning of a phase in which a target is treated as cold. */
	#begin(target: RelayTarget, {source, forMs, from}: {source: ColdEvidence['source']; forMs: Ms; from?: Link | undefined}): void {
		const {id, entry: {service, zone}} = target;
		this.options.logger.info('A target is treated as cold.', {
			target: id, service, zone, source, for_ms: Math.round(forMs), told_by: from?.peer.name ?? 'self',
		});
		this.#permits.coldPhaseBegan(id);
		// Those that wait for a connection have no permit.
		target.withdrawUnsent();
		this.#watchEnds();
	}

	#observe(id: string, evidence: ColdEvidence, {isTold, from}: {isTold: boolean; from?: Link}): void {
		const {clock, mesh, targets, coldStart} = this.options;
		const now = clock.now();
		const target = targets.get(id);
		const declared = target && coldStart(target.entry.service);
		const forMs = judgeCold(evidence, declared);
		const change = this.#phases.observe(id, {source: evidence.source, untilMs: now + forMs, now});
		// What is stated before the configuration or the target is known counts once they are.
		if (change === 'none' || !declared) {
			return;
		}

		// Also for one that an entry has claimed before: the other entry VMs have taken the target for warm until now.
		if (change === 'began') {
			this.#begin(target, {source: evidence.source, forMs, from});
		}

		const links = mesh();
		const phase = this.#phases.at(id, now);
		if (isTold && links && phase) {
			passOn(links, this.#encode(phase), from);
		}
	}

	/** Logs the phases that have ended, and waits for the end of the next one. */
	#watchEnds(): void {
		const {clock, logger, targets, coldStart} = this.options;
		const now = clock.now();
		this.#cancelEndWatch();
		const isDeclared = (id: string) => coldStart(targets.get(id)?.entry.service ?? '') !== undefined;
		for (const {target, source, sinceMs} of [...this.#phases.takeEnded(now), ...this.#claims.takeEnded(now)].filter(phase => isDeclared(phase.target))) {
			logger.info('A target is no longer treated as cold.', {target, source, age_ms: Math.round(now - sinceMs)});
		}

		const phases = [...this.#phases.current(now), ...this.#claims.current(now)];
		if (phases.length > 0) {
			this.#cancelEndWatch = clock.after(Math.max(1, Math.ceil(Math.min(...phases.map(({untilMs}) => untilMs)) - now)), () => {
				this.#watchEnds();
			});
		}
	}

	#encode({target, source, sinceMs, untilMs}: ColdPhase): ColdMessage {
		const now = this.options.clock.now();
		return {
			type: 'target-cold', target, source, remainingMs: Math.max(0, untilMs - now), agoMs: Math.max(0, now - sinceMs),
		};
	}

	/**
	 * Whether the others are told what this entry VM finds about the reach of a target. Between zones, or for many targets at
	 * once, it is more likely a partition, after which targets that are warm everywhere else would count as cold.
	 */
	#isTrustedReach(target: RelayTarget): boolean {
		return target.entry.zone === this.options.self.zone && this.#unreachable.size <= maxToldUnreachable;
	}

	/** Whether phases that began before the start are known, or over: peers tell of them once they are linked. */
	#isInformedNow({durationMs}: ColdStart): boolean {
		const now = this.options.clock.now();
		if (this.options.mesh()?.isSettled) {
			this.#settledMs ??= now;
		}

		this.#isInformed ||= now >= Math.min(this.#createdMs + durationMs + maxInformationAgeMs, (this.#settledMs ?? Infinity) + newsDelayMs);
		return this.#isInformed;
	}

	#rateOf(service: string): number | undefined {
		const {coldStart, bound} = this.options;
		const declared = coldStart(service);
		return declared && permitRate(declared.perSecond, bound ?? strictColdBound);
	}
}
