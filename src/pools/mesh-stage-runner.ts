import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import {PendingReplies} from '../links/pending-replies.js';
import type {Link, LinkMessage, RelayMesh} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import type {AllowedRegions} from '../placement/index.js';
import {ForeignHosts} from './foreign-hosts.js';
import {ForeignResults} from './foreign-results.js';
import type {PoolHost} from './pool-host.js';
import type {StageCrash} from './stage-job.js';
import type {StagePlan, StageRunner, StagePlanOutcome} from './stage-plan.js';
import {countRepeats, withSentPieces} from './sent-pieces.js';
import {objectiveMarginMs} from './stage-plan-run.js';

/** Maximum number of hosts tried per plan; a plan whose host is lost is sent to the next one. */
const maxHosts = 3;
/** Maximum time after start-up for which plans wait for the host to become known, and the interval of the checks. */
const hostDiscoveryTimeoutMs: Ms = 3000;
const hostDiscoveryPollMs: Ms = 50;
/** Maximum time for which a plan that its host has handed over waits until another host is known. A change of the host is usually known within some ms; without one, the plan is sent to the same host again. */
const nextHostTimeoutMs: Ms = 500;
/** An entry VM that becomes the host again counts as having taken over if it has run no plan, its own or a peer's, for this time. */
const takeoverQuietMs: Ms = 3000;
/** Interval at which a host reports its load to the hosts of other cells. */
const loadIntervalMs: Ms = 400;
/** Time for a plan to travel to a host in another cell and back, across regions. */
const foreignRoundTripMs: Ms = 50;
/** Time after the end of a plan in which its host may still tell of a crash; the target is probed before. */
const crashNewsMs: Ms = 3000;
/** Maximum number of handles per message. */
const handlesPerMessage = 1000;

/** Link messages about stages. */
export type StageMessage = LinkMessage & {type: 'stage-plan' | 'stage-results' | 'stage-failure' | 'stage-cancel' | 'stage-free' | 'stage-load' | 'stage-crash'};

/** Dependencies of {@link MeshStageRunner}. */
export interface MeshStageRunnerOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly host: PoolHost;
	readonly mesh: () => RelayMesh | undefined;
	/** Whether no stage target can be reached from here, but from other hosts; never by default. */
	readonly isCutOff?: () => boolean;
	/** Whether a zone is in one of the regions in which a plan may run; none is by default. */
	readonly allowsZone?: (zone: string, regions: AllowedRegions) => boolean;
}

/**
 * Runs stage plans on the entry VM that leads the mesh, which hosts the stage pools for all entry VMs; the others send it
 * their plans over links. When the leader is not linked, the next entry VM takes its place.
 *
 * @example
 * const outcome = await stages.run(plan, signal);
 */
export class MeshStageRunner implements StageRunner {
	static create(options: MeshStageRunnerOptions): MeshStageRunner {
		return new MeshStageRunner(options);
	}

	private readonly clock: Clock;
	private readonly logger: PartLogger;
	private readonly host: PoolHost;
	readonly #startedMs: Ms;
	/** Times of the latest plan sent to another host, and of the latest plan run here. */
	#remoteRunMs: Ms = -Infinity;
	#localRunMs: Ms = -Infinity;

	readonly #foreignHosts = ForeignHosts.create();
	/** Hosts that produced the results of plans of this entry VM, or of plans that run here; without one, this host did. */
	readonly #producers: ForeignResults<Link>;
	#cancelReport: CancelTimer = () => undefined;
	readonly #replies: PendingReplies<StagePlanOutcome>;
	/** Listeners for crashes of targets that had pieces of plans sent to other hosts, by link and id of the plan. */
	readonly #crashListeners = new Map<Link, Map<number, (crash: StageCrash) => void>>();
	/** Plans of other entry VMs that run here, by link and id. */
	readonly #peerPlans = new Map<Link, Map<number, AbortController>>();

	private constructor(private readonly options: MeshStageRunnerOptions) {
		const {clock, logger, host} = options;
		this.clock = clock;
		this.logger = logger;
		this.host = host;
		this.#replies = PendingReplies.create(clock);
		this.#producers = ForeignResults.create(clock);
		this.#startedMs = clock.now();
	}

	get #mesh(): RelayMesh | undefined {
		return this.options.mesh();
	}

	get #isCutOff(): boolean {
		return this.options.isCutOff?.() === true;
	}

	/** Whether plans may be sent: the host of the pools is known, or none has been found within the discovery timeout. */
	get isReady(): boolean {
		return this.#mesh?.isSettled === true || this.clock.now() - this.#startedMs >= hostDiscoveryTimeoutMs;
	}

	async run(request: StagePlan, signal: AbortSignal): Promise<StagePlanOutcome> {
		let plan = request;
		// A second host beside the one that the others use would take memory and slots of the same targets.
		while (!this.isReady && !signal.aborted) {
			await this.clock.sleep(hostDiscoveryPollMs, signal);
		}

		for (let tries = 0; tries < maxHosts; tries++) {
			if (signal.aborted) {
				return {failure: 'cancelled', retryAfterMs: 0};
			}

			const link = this.#mesh?.leader();
			if (link) {
				this.#remoteRunMs = this.clock.now();
			} else {
				this.#noteLocalRun();
			}

			const outcome = link ? await this.#runRemotely(link, plan, signal) : await this.#runAtHost(plan, signal);
			if (outcome === 'timeout') {
				return {failure: 'late', retryAfterMs: 0};
			}

			if (typeof outcome !== 'string' && !('failure' in outcome && outcome.failure === 'host_left')) {
				if (link && 'results' in outcome) {
					this.#producers.add(outcome.results.map(({handle}) => handle), link);
				}

				return outcome;
			}

			plan = afterRun(plan, outcome);
			this.logger.warn('Stage plan was not completed by its host; trying the next host while tries remain.', {
				id: plan.attemptId, host: link?.peer.name, cause: typeof outcome === 'string' ? outcome : 'host_left', repeats: Object.fromEntries(countRepeats(plan)),
			});
			if (link) {
				await this.#waitForOtherHost(link, signal);
			}
		}

		return {failure: 'failed', retryAfterMs: 0};
	}

	/** Waits while the host that did not complete a plan is still the one that is known: it would hand over the plan at once again. */
	async #waitForOtherHost(link: Link, signal: AbortSignal): Promise<void> {
		const untilMs = this.clock.now() + nextHostTimeoutMs;
		while (this.#mesh?.leader() === link && this.clock.now() < untilMs && !signal.aborted) {
			await this.clock.sleep(hostDiscoveryPollMs, signal);
		}
	}

	/** Hands over the plans of which nothing has started to the next host, if there is one. */
	handOver(): void {
		if (this.#mesh?.leader()) {
			this.host.handOver();
		}
	}

	/** Hands over all plans to the next host, if there is one, since no stage target can be reached from here. */
	handOverAll(): void {
		if (this.#mesh?.leader()) {
			this.host.handOverAll();
		}
	}

	/** Starts the reports to other hosts; until then, there is no timer to end. */
	start(): void {
		this.#reportLoad();
	}

	/** Ends the reports to other hosts. */
	close(): void {
		this.#cancelReport();
	}

	/** Frees results at the hosts that produced them; those of a lost host at the current one, which frees them at their targets. */
	free(handles: readonly string[]): void {
		for (const [producer, produced] of this.#producers.takeByHost(handles)) {
			if (producer) {
				this.#freeAt(producer, produced);
			} else {
				this.host.free(produced);
			}
		}
	}

	#freeAt(producer: Link, handles: readonly string[]): void {
		for (let at = 0; at < handles.length; at += handlesPerMessage) {
			const batch = handles.slice(at, at + handlesPerMessage);
			if (!producer.send({type: 'stage-free', handles: batch}) && !this.#mesh?.leader()?.send({type: 'stage-free', handles: batch})) {
				this.host.free(batch);
			}
		}
	}

	/** Number of plans of other entry VMs that run here. */
	get hostedPlans(): number {
		return [...this.#peerPlans.values()].reduce((sum, plans) => sum + plans.size, 0);
	}

	/** Handles a message from a peer. */
	receive(link: Link, message: StageMessage): void {
		switch (message.type) {
			case 'stage-plan': {
				void this.#runForPeer(link, message);
				break;
			}

			case 'stage-results': {
				this.#replies.reply(link, message.id, {results: message.results});
				break;
			}

			case 'stage-failure': {
				this.#replies.reply(link, message.id, {failure: message.failure, retryAfterMs: message.retryAfterMs, sentPieces: message.sentPieces});
				break;
			}

			case 'stage-cancel': {
				this.#peerPlans.get(link)?.get(message.id)?.abort();
				break;
			}

			case 'stage-free': {
				this.free(message.handles);
				break;
			}

			case 'stage-crash': {
				const now = this.clock.now();
				this.#crashListeners.get(link)?.get(message.id)?.({crash: message.crash, sentMs: now - message.sentAgoMs, brokenMs: now - message.brokenAgoMs});
				break;
			}

			case 'stage-load': {
				this.#foreignHosts.update(link.peer.name, message.services.map(([service, waitMs, msPerPiece]) => ({service, waitMs, msPerPiece})), this.clock.now());
				break;
			}
		}
	}

	/** Cancels the plans that run here for a lost peer. Plans sent to that peer are retried at the next host. */
	linkLost(link: Link): void {
		this.#replies.linkLost(link);
		this.#foreignHosts.remove(link.peer.name);
		this.#crashListeners.delete(link);
		for (const controller of this.#peerPlans.get(link)?.values() ?? []) {
			controller.abort();
		}

		this.#peerPlans.delete(link);
	}

	/** Runs a plan of this cell at its host: here, or at the host of another cell if the plan meets its objective only there. */
	async #runAtHost(plan: StagePlan, signal: AbortSignal): Promise<StagePlanOutcome> {
		if (plan.regions && !this.host.canPlace(plan)) {
			return this.#runInAllowedRegion(plan, signal);
		}

		const link = this.host.canMeetObjective(plan) ? undefined : this.#chooseForeignHost(plan);
		if (!link) {
			return this.host.run(plan, signal);
		}

		const outcome = await this.#runRemotely(link, plan, signal, true);
		if (typeof outcome !== 'string' && 'results' in outcome) {
			this.#producers.add(outcome.results.map(({handle}) => handle), link);
			return outcome;
		}

		const failure = typeof outcome === 'string' ? outcome : outcome.failure;
		this.logger.info('The host of another cell did not complete a stage plan.', {
			id: plan.attemptId, host: link.peer.name, failure, repeats: Object.fromEntries(countRepeats(afterRun(plan, outcome))),
		});
		if (failure === 'timeout' || failure === 'late' || failure === 'cancelled') {
			return {failure: failure === 'cancelled' ? 'cancelled' : 'late', retryAfterMs: 0};
		}

		return this.host.run(afterRun(plan, outcome), signal);
	}

	/** Runs a plan at the host of another cell, since the targets of this one are all in other regions or zones. */
	async #runInAllowedRegion(request: StagePlan, signal: AbortSignal): Promise<StagePlanOutcome> {
		let plan = request;
		for (const link of this.#allowedHosts(plan.regions)) {
			if (signal.aborted) {
				return {failure: 'cancelled', retryAfterMs: 0};
			}

			const outcome = await this.#runRemotely(link, plan, signal, true);
			this.logger.info('Passed a stage plan on to the host of a cell in an allowed region.', {
				id: plan.attemptId, host: link.peer.name, regions: plan.regions, end: typeof outcome === 'string' ? outcome : ('failure' in outcome ? outcome.failure : 'done'),
			});
			if (outcome === 'timeout') {
				return {failure: 'late', retryAfterMs: 0};
			}

			if (typeof outcome !== 'string' && 'results' in outcome) {
				this.#producers.add(outcome.results.map(({handle}) => handle), link);
				return outcome;
			}

			if (typeof outcome !== 'string' && outcome.failure !== 'host_left' && outcome.failure !== 'no_target') {
				return outcome;
			}

			plan = afterRun(plan, outcome);
		}

		// The host tells that it has no target.
		return this.host.run(plan, signal);
	}

	/** Returns links to hosts of other cells in allowed regions, those first that report their load. */
	#allowedHosts(regions: AllowedRegions): readonly Link[] {
		const mesh = this.#mesh;
		const now = this.clock.now();
		const links = mesh?.links().filter(link => !mesh.isInCell(link.peer.zone) && this.#isAllowedHost(link, regions)) ?? [];
		return links.toSorted((a, b) => Number(this.#foreignHosts.isFresh(b.peer.name, now)) - Number(this.#foreignHosts.isFresh(a.peer.name, now)));
	}

	#isAllowedHost(link: Link | undefined, regions: AllowedRegions): boolean {
		return link !== undefined && (regions === undefined || this.options.allowsZone?.(link.peer.zone, regions) === true);
	}

	#chooseForeignHost(plan: StagePlan): Link | undefined {
		const mesh = this.#mesh;
		const name = mesh && this.#foreignHosts.choose(plan, {
			now: this.clock.now(),
			times: this.host,
			readyByMs: plan.callByMs - objectiveMarginMs,
			isReachable: host => this.#isAllowedHost(mesh.linkTo(host), plan.regions),
			roundTripMs: () => foreignRoundTripMs,
		});
		if (name === undefined) {
			return undefined;
		}

		this.logger.info('Sent a stage plan to the host of another cell.', {id: plan.attemptId, host: name});
		return mesh!.linkTo(name);
	}

	/** Reports the load of the pools that are hosted here to the hosts of other cells. */
	#reportLoad(): void {
		// The next report is due whatever becomes of this one.
		this.#cancelReport = this.clock.after(loadIntervalMs, () => {
			this.#reportLoad();
		});
		const mesh = this.#mesh;
		if (mesh && !mesh.leader()) {
			mesh.broadcastToLeaders({type: 'stage-load', services: this.host.serviceLoads().map(({service, waitMs, msPerPiece}): [string, number, number] => [service, waitMs, msPerPiece])});
		}
	}

	/** Records that a plan runs here, and detects that this entry VM has taken over from another host. */
	#noteLocalRun(): void {
		const now = this.clock.now();
		if (this.#remoteRunMs > this.#localRunMs && now - this.#localRunMs >= takeoverQuietMs) {
			this.host.takeOver();
		}

		this.#localRunMs = now;
	}

	async #runRemotely(link: Link, plan: StagePlan, signal: AbortSignal, isSpilled = false): Promise<StagePlanOutcome | 'timeout' | 'link_lost' | 'unsent'> {
		const now = this.clock.now();
		const {callByMs, deadlineMs, pieceKey, stages, sentPieces, regions, onCrash, ...fields} = plan;
		let planId = 0;
		const cancel = () => {
			link.send({type: 'stage-cancel', id: planId});
		};

		signal.addEventListener('abort', cancel, {once: true});
		const reply = await this.#replies.request(link, Math.max(1, deadlineMs - now), id => {
			planId = id;
			this.#listenForCrashes(link, id, onCrash);
			return link.send({
				type: 'stage-plan',
				id,
				...fields,
				...(sentPieces === undefined ? {} : {sentPieces}),
				...(pieceKey === undefined ? {} : {pieceKey}),
				...(regions === undefined ? {} : {regions}),
				...(isSpilled ? {isSpilled} : {}),
				stages: stages.map(stage => ({...stage, after: [...stage.after]})),
				callInMs: callByMs - now,
				deadlineInMs: deadlineMs - now,
			});
		});
		signal.removeEventListener('abort', cancel);
		this.clock.after(crashNewsMs, () => {
			this.#crashListeners.get(link)?.delete(planId);
		});
		if (reply === 'timeout') {
			cancel();
		}

		return reply;
	}

	#listenForCrashes(link: Link, id: number, onCrash: StagePlan['onCrash']): void {
		if (onCrash) {
			const listeners = this.#crashListeners.get(link) ?? new Map<number, (crash: StageCrash) => void>();
			this.#crashListeners.set(link, listeners.set(id, onCrash));
		}
	}

	async #runForPeer(link: Link, message: StageMessage & {type: 'stage-plan'}): Promise<void> {
		this.#noteLocalRun();
		const {id, type, callInMs, deadlineInMs, pieceKey, isSpilled = false, ...fields} = message;
		const now = this.clock.now();
		const controller = new AbortController();
		const plans = this.#peerPlans.get(link) ?? new Map<number, AbortController>();
		this.#peerPlans.set(link, plans);
		plans.set(id, controller);
		const plan = {
			...fields,
			pieceKey,
			callByMs: now + callInMs,
			deadlineMs: now + deadlineInMs,
			onCrash: ({crash, sentMs, brokenMs}: StageCrash) => {
				const atMs = this.clock.now();
				link.send({
					type: 'stage-crash', id, crash, sentAgoMs: atMs - sentMs, brokenAgoMs: atMs - brokenMs,
				});
			},
		};
		let outcome: StagePlanOutcome;
		try {
			// The peer may have sent the plan before it was told that this host is cut off.
			outcome = this.#isCutOff && this.#mesh?.leader()
				? {failure: 'host_left', retryAfterMs: 0, sentPieces: plan.sentPieces ?? plan.stages.map(() => 0)}
				: await (isSpilled ? this.host.run(plan, controller.signal) : this.#runAtHost(plan, controller.signal));
		} catch (err) {
			// Without a reply, the peer would wait until the deadline of its request.
			this.logger.error('Cannot run a stage plan of a peer.', {
				id: plan.attemptId, peer: link.peer.name, error: errorMessage(err), stack: err instanceof Error ? err.stack : undefined,
			});
			outcome = {failure: 'failed', retryAfterMs: 0};
		} finally {
			plans.delete(id);
		}

		// The peer runs a plan elsewhere only after these failures.
		const isSent = 'results' in outcome
			? link.send({type: 'stage-results', id, results: outcome.results.map(result => ({...result}))})
			: link.send({
				type: 'stage-failure', id, failure: outcome.failure, retryAfterMs: Math.max(0, outcome.retryAfterMs), ...(outcome.sentPieces && (isSpilled || outcome.failure === 'host_left') ? {sentPieces: outcome.sentPieces} : {}),
			});
		if (!isSent && 'results' in outcome) {
			this.free(outcome.results.map(({handle}) => handle));
		}
	}
}

/** Returns a plan as the next host gets it after a run that failed; it stays a first run if no host has got it. */
function afterRun(plan: StagePlan, outcome: StagePlanOutcome | 'timeout' | 'link_lost' | 'unsent'): StagePlan {
	if (outcome === 'unsent') {
		return plan;
	}

	return withSentPieces(plan, typeof outcome !== 'string' && 'failure' in outcome ? outcome.sentPieces : undefined);
}
