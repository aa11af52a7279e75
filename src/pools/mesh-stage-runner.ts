import type {Clock, Ms} from '../clock/index.js';
import {PendingReplies} from '../links/pending-replies.js';
import type {Link, LinkMessage, RelayMesh} from '../links/index.js';
import type {PartLogger} from '../logs/index.js';
import type {PoolHost} from './pool-host.js';
import type {StagePlan, StageRunner, StagePlanOutcome} from './stage-plan.js';

/** Hosts asked for one plan, at most; a plan whose host is lost goes to the next one. */
const maxHosts = 3;
/** Longest time after the start for which a plan waits for the host to be known, and how often it looks. */
const settleMs: Ms = 3000;
const settleCheckMs: Ms = 50;
/** Time without plans of its own or of others after which an entry VM that hosts again counts as having taken over. */
const takeoverQuietMs: Ms = 3000;
/** Handles in one message. */
const handlesPerMessage = 1000;

/** Messages about stages. */
export type StageMessage = LinkMessage & {type: 'stage-plan' | 'stage-results' | 'stage-failure' | 'stage-cancel' | 'stage-free'};

/**
 * Stages shared by all entry VMs: the one that leads the mesh hosts the pools and runs the stages of every request; the
 * others send it their plans over links. While it is not linked the next one takes its place.
 *
 * @example
 * const outcome = await stages.run(plan, signal);
 */
export class MeshStageRunner implements StageRunner {
	static create(options: {clock: Clock; logger: PartLogger; host: PoolHost; mesh: () => RelayMesh | undefined}): MeshStageRunner {
		return new MeshStageRunner(options.clock, options.logger, options.host, options.mesh);
	}

	readonly #startedMs: Ms;
	/** Times of the latest plan that was sent to another host, and of the latest one that ran here. */
	#askedMs: Ms = -Infinity;
	#hostedMs: Ms = -Infinity;

	readonly #replies: PendingReplies<StagePlanOutcome>;
	/** Plans of others that run here, by link and id. */
	readonly #hosted = new Map<Link, Map<number, AbortController>>();

	private constructor(private readonly clock: Clock, private readonly logger: PartLogger, private readonly host: PoolHost, private readonly mesh: () => RelayMesh | undefined) {
		this.#replies = PendingReplies.create(clock);
		this.#startedMs = clock.now();
	}

	/** True once the host of the pools is known, or nobody has been found for a while. */
	get isReady(): boolean {
		return this.mesh()?.isSettled === true || this.clock.now() - this.#startedMs >= settleMs;
	}

	async run(plan: StagePlan, signal: AbortSignal): Promise<StagePlanOutcome> {
		// A second host beside the one that the others use takes its room and slots.
		while (!this.isReady && !signal.aborted) {
			await this.clock.sleep(settleCheckMs, signal);
		}

		for (let tries = 0; tries < maxHosts; tries++) {
			if (signal.aborted) {
				return {failure: 'cancelled', retryAfterMs: 0};
			}

			const link = this.mesh()?.leader();
			if (link) {
				this.#askedMs = this.clock.now();
			} else {
				this.#noteHosting();
			}

			const outcome = link ? await this.#ask(link, plan, signal) : await this.host.run(plan, signal);
			if (outcome === 'timeout') {
				return {failure: 'late', retryAfterMs: 0};
			}

			if (typeof outcome !== 'string' && !('failure' in outcome && outcome.failure === 'host_left')) {
				return outcome;
			}

			this.logger.warn('Lost the host of the stage pools; asking the next one.', {id: plan.attemptId, host: link?.peer.name, cause: typeof outcome === 'string' ? outcome : 'host_left'});
		}

		return {failure: 'failed', retryAfterMs: 0};
	}

	/** Leaves the plans of which nothing has been started to the next host, when there is one. */
	handOver(): void {
		if (this.mesh()?.leader()) {
			this.host.leave();
		}
	}

	free(handles: readonly string[]): void {
		const link = this.mesh()?.leader();
		for (let at = 0; at < handles.length; at += handlesPerMessage) {
			const some = handles.slice(at, at + handlesPerMessage);
			if (!link?.send({type: 'stage-free', handles: some})) {
				this.host.free(some);
			}
		}
	}

	/** Plans of other entry VMs that run here. */
	get hostedPlans(): number {
		return [...this.#hosted.values()].reduce((sum, plans) => sum + plans.size, 0);
	}

	/** Takes a message of a peer. */
	receive(link: Link, message: StageMessage): void {
		switch (message.type) {
			case 'stage-plan': {
				void this.#runFor(link, message);
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
				this.#hosted.get(link)?.get(message.id)?.abort();
				break;
			}

			case 'stage-free': {
				this.host.free(message.handles);
				break;
			}
		}
	}

	/** Drops the plans of a lost peer; its own go on at another host. */
	linkLost(link: Link): void {
		this.#replies.linkLost(link);
		for (const controller of this.#hosted.get(link)?.values() ?? []) {
			controller.abort();
		}

		this.#hosted.delete(link);
	}

	/** Notices that this entry VM became the host in place of another one. */
	#noteHosting(): void {
		const now = this.clock.now();
		if (this.#askedMs > this.#hostedMs && now - this.#hostedMs >= takeoverQuietMs) {
			this.host.takeOver();
		}

		this.#hostedMs = now;
	}

	async #ask(link: Link, plan: StagePlan, signal: AbortSignal): Promise<StagePlanOutcome | 'timeout' | 'link_lost' | 'unsent'> {
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

	async #runFor(link: Link, message: StageMessage & {type: 'stage-plan'}): Promise<void> {
		this.#noteHosting();
		const {id, type, callInMs, deadlineInMs, pieceKey, ...fields} = message;
		const now = this.clock.now();
		const controller = new AbortController();
		const plans = this.#hosted.get(link) ?? new Map<number, AbortController>();
		this.#hosted.set(link, plans);
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
