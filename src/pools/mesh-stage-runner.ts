import type {Clock, Ms} from '../clock/index.js';
import {PendingReplies} from '../links/pending-replies.js';
import type {Link, LinkMessage, RelayMesh} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import type {PoolHost} from './pool-host.js';
import type {StagePlan, StageRunner, StagePlanOutcome} from './stage-plan.js';

/** Maximum number of hosts tried per plan; a plan whose host is lost is sent to the next one. */
const maxHosts = 3;
/** Maximum time after start-up for which plans wait for the host to become known, and the interval of the checks. */
const hostDiscoveryTimeoutMs: Ms = 3000;
const hostDiscoveryPollMs: Ms = 50;
/** An entry VM that becomes the host again counts as having taken over if it has run no plan, its own or a peer's, for this time. */
const takeoverQuietMs: Ms = 3000;
/** Maximum number of handles per message. */
const handlesPerMessage = 1000;

/** Link messages about stages. */
export type StageMessage = LinkMessage & {type: 'stage-plan' | 'stage-results' | 'stage-failure' | 'stage-cancel' | 'stage-free'};

/**
 * Runs stage plans on the entry VM that leads the mesh, which hosts the stage pools for all entry VMs; the others send it
 * their plans over links. When the leader is not linked, the next entry VM takes its place.
 *
 * @example
 * const outcome = await stages.run(plan, signal);
 */
export class MeshStageRunner implements StageRunner {
	static create(options: {clock: Clock; logger: PartLogger; host: PoolHost; mesh: () => RelayMesh | undefined}): MeshStageRunner {
		return new MeshStageRunner(options.clock, options.logger, options.host, options.mesh);
	}

	readonly #startedMs: Ms;
	/** Times of the latest plan sent to another host, and of the latest plan run here. */
	#remoteRunMs: Ms = -Infinity;
	#localRunMs: Ms = -Infinity;

	readonly #replies: PendingReplies<StagePlanOutcome>;
	/** Plans of other entry VMs that run here, by link and id. */
	readonly #peerPlans = new Map<Link, Map<number, AbortController>>();

	private constructor(private readonly clock: Clock, private readonly logger: PartLogger, private readonly host: PoolHost, private readonly mesh: () => RelayMesh | undefined) {
		this.#replies = PendingReplies.create(clock);
		this.#startedMs = clock.now();
	}

	/** Whether plans may be sent: the host of the pools is known, or none has been found within the discovery timeout. */
	get isReady(): boolean {
		return this.mesh()?.isSettled === true || this.clock.now() - this.#startedMs >= hostDiscoveryTimeoutMs;
	}

	async run(plan: StagePlan, signal: AbortSignal): Promise<StagePlanOutcome> {
		// A second host beside the one that the others use would take memory and slots of the same targets.
		while (!this.isReady && !signal.aborted) {
			await this.clock.sleep(hostDiscoveryPollMs, signal);
		}

		for (let tries = 0; tries < maxHosts; tries++) {
			if (signal.aborted) {
				return {failure: 'cancelled', retryAfterMs: 0};
			}

			const link = this.mesh()?.leader();
			if (link) {
				this.#remoteRunMs = this.clock.now();
			} else {
				this.#noteLocalRun();
			}

			const outcome = link ? await this.#runRemotely(link, plan, signal) : await this.host.run(plan, signal);
			if (outcome === 'timeout') {
				return {failure: 'late', retryAfterMs: 0};
			}

			if (typeof outcome !== 'string' && !('failure' in outcome && outcome.failure === 'host_left')) {
				return outcome;
			}

			this.logger.warn('Stage plan was not completed by its host; trying the next host while tries remain.', {id: plan.attemptId, host: link?.peer.name, cause: typeof outcome === 'string' ? outcome : 'host_left'});
		}

		return {failure: 'failed', retryAfterMs: 0};
	}

	/** Hands over the plans of which nothing has started to the next host, if there is one. */
	handOver(): void {
		if (this.mesh()?.leader()) {
			this.host.handOver();
		}
	}

	free(handles: readonly string[]): void {
		const link = this.mesh()?.leader();
		for (let at = 0; at < handles.length; at += handlesPerMessage) {
			const batch = handles.slice(at, at + handlesPerMessage);
			if (!link?.send({type: 'stage-free', handles: batch})) {
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
				this.#replies.reply(link, message.id, {failure: message.failure, retryAfterMs: message.retryAfterMs});
				break;
			}

			case 'stage-cancel': {
				this.#peerPlans.get(link)?.get(message.id)?.abort();
				break;
			}

			case 'stage-free': {
				this.host.free(message.handles);
				break;
			}
		}
	}

	/** Cancels the plans that run here for a lost peer. Plans sent to that peer are retried at the next host. */
	linkLost(link: Link): void {
		this.#replies.linkLost(link);
		for (const controller of this.#peerPlans.get(link)?.values() ?? []) {
			controller.abort();
		}

		this.#peerPlans.delete(link);
	}

	/** Records that a plan runs here, and detects that this entry VM has taken over from another host. */
	#noteLocalRun(): void {
		const now = this.clock.now();
		if (this.#remoteRunMs > this.#localRunMs && now - this.#localRunMs >= takeoverQuietMs) {
			this.host.takeOver();
		}

		this.#localRunMs = now;
	}

	async #runRemotely(link: Link, plan: StagePlan, signal: AbortSignal): Promise<StagePlanOutcome | 'timeout' | 'link_lost' | 'unsent'> {
		const now = this.clock.now();
		const {callByMs, deadlineMs, pieceKey, stages, ...fields} = plan;
		let planId = 0;
		const cancel = () => {
			link.send({type: 'stage-cancel', id: planId});
		};

		signal.addEventListener('abort', cancel, {once: true});
		const reply = await this.#replies.request(link, Math.max(1, deadlineMs - now), id => {
			planId = id;
			return link.send({
				type: 'stage-plan',
				id,
				...fields,
				...(pieceKey === undefined ? {} : {pieceKey}),
				stages: stages.map(stage => ({...stage, after: [...stage.after]})),
				callInMs: callByMs - now,
				deadlineInMs: deadlineMs - now,
			});
		});
		signal.removeEventListener('abort', cancel);
		if (reply === 'timeout') {
			cancel();
		}

		return reply;
	}

	async #runForPeer(link: Link, message: StageMessage & {type: 'stage-plan'}): Promise<void> {
		this.#noteLocalRun();
		const {id, type, callInMs, deadlineInMs, pieceKey, ...fields} = message;
		const now = this.clock.now();
		const controller = new AbortController();
		const plans = this.#peerPlans.get(link) ?? new Map<number, AbortController>();
		this.#peerPlans.set(link, plans);
		plans.set(id, controller);
		const outcome = await this.host.run({
			...fields, pieceKey, callByMs: now + callInMs, deadlineMs: now + deadlineInMs,
		}, controller.signal);
		plans.delete(id);
		const isSent = 'results' in outcome
			? link.send({type: 'stage-results', id, results: outcome.results.map(result => ({...result}))})
			: link.send({
				type: 'stage-failure', id, failure: outcome.failure, retryAfterMs: Math.max(0, outcome.retryAfterMs),
			});
		if (!isSent && 'results' in outcome) {
			this.host.free(outcome.results.map(({handle}) => handle));
		}
	}
}
