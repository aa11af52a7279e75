import type {Clock} from '../clock/index.js';
import type {PartLogger} from '../logs/index.js';
import {PendingReplies} from '../links/pending-replies.js';
import type {Link, LinkMessage, RelayMesh} from '../links/index.js';
import type {PoolHost} from './pool-host.js';
import type {StageJob, StageOutcome} from './stage-job.js';
import type {StagePools} from './stage-pools.js';

/** Hosts asked for one job, at most; a job whose host is lost goes to the next one. */
const maxHosts = 3;
/** Handles in one message. */
const handlesPerMessage = 1000;

/** Messages about stage jobs. */
export type StageMessage = LinkMessage & {type: 'stage-job' | 'stage-results' | 'stage-failure' | 'stage-cancel' | 'stage-free'};

/** Key by which the entry VM that hosts the pool of a service is found. */
export function poolKey(service: string): string {
	return `pool ${service}`;
}

/**
 * Stage pools shared by all entry VMs: the pool of each service is hosted by one of them, found by rendezvous hashing;
 * the others send it their jobs over links. While the host is not linked the next one takes its place.
 *
 * @example
 * const outcome = await pools.run('archive', job, signal);
 */
export class LinkedPools implements StagePools {
	static create(options: {clock: Clock; logger: PartLogger; host: PoolHost; mesh: () => RelayMesh | undefined}): LinkedPools {
		return new LinkedPools(options.clock, options.logger, options.host, options.mesh);
	}

	readonly #replies: PendingReplies<StageOutcome>;
	/** Jobs of others that run here, by link and id. */
	readonly #hosted = new Map<Link, Map<number, AbortController>>();

	private constructor(private readonly clock: Clock, private readonly logger: PartLogger, private readonly host: PoolHost, private readonly mesh: () => RelayMesh | undefined) {
		this.#replies = PendingReplies.create(clock);
	}

	async run(service: string, job: StageJob, signal: AbortSignal): Promise<StageOutcome> {
		for (let tries = 0; tries < maxHosts; tries++) {
			if (signal.aborted) {
				return {failure: 'cancelled', retryAfterMs: 0};
			}

			const link = this.mesh()?.owner(poolKey(service));
			if (!link) {
				return this.host.run(service, {...job, id: `${job.id}/${tries}`}, signal);
			}

			const outcome = await this.#ask(link, service, job, signal);
			if (typeof outcome !== 'string') {
				return outcome;
			}

			if (outcome === 'timeout') {
				return {failure: 'late', retryAfterMs: 0};
			}

			this.logger.warn('Lost the host of a stage pool; asking the next one.', {id: job.attemptId, service, host: link.peer.name, cause: outcome});
		}

		return {failure: 'failed', retryAfterMs: 0};
	}

	zoneOf(handle: string): string | undefined {
		return this.host.zoneOf(handle);
	}

	free(service: string, handles: readonly string[]): void {
		const link = this.mesh()?.owner(poolKey(service));
		for (let at = 0; at < handles.length; at += handlesPerMessage) {
			const some = handles.slice(at, at + handlesPerMessage);
			if (!link?.send({type: 'stage-free', handles: some})) {
				this.host.free(service, some);
			}
		}
	}

	/** Takes a message of a peer. */
	receive(link: Link, message: StageMessage): void {
		switch (message.type) {
			case 'stage-job': {
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
				this.host.free('', message.handles);
				break;
			}
		}
	}

	/** Drops the jobs of a lost peer; its own requests go on at another host. */
	linkLost(link: Link): void {
		this.#replies.linkLost(link);
		for (const controller of this.#hosted.get(link)?.values() ?? []) {
			controller.abort();
		}

		this.#hosted.delete(link);
	}

	async #ask(link: Link, service: string, job: StageJob, signal: AbortSignal): Promise<StageOutcome | 'timeout' | 'link_lost' | 'unsent'> {
		const now = this.clock.now();
		let jobId = 0;
		const cancel = () => {
			link.send({type: 'stage-cancel', id: jobId});
		};

		signal.addEventListener('abort', cancel, {once: true});
		const reply = await this.#replies.request(link, Math.max(1, job.deadlineMs - now), id => {
			jobId = id;
			return link.send({
				type: 'stage-job',
				id,
				service,
				attemptId: job.attemptId,
				stage: job.stage,
				pieces: job.pieces,
				...(job.key === undefined ? {} : {key: job.key}),
				inputs: [...job.inputs],
				resultBytes: job.resultBytes,
				pulls: job.pulls.map(pull => ({...pull})),
				priority: job.priority,
				startInMs: job.startByMs - now,
				deadlineInMs: job.deadlineMs - now,
			});
		});
		signal.removeEventListener('abort', cancel);
		if (reply === 'timeout') {
			cancel();
		}

		return reply;
	}

	async #runFor(link: Link, message: StageMessage & {type: 'stage-job'}): Promise<void> {
		const {id, service, startInMs, deadlineInMs, key, ...fields} = message;
		const now = this.clock.now();
		const controller = new AbortController();
		const jobs = this.#hosted.get(link) ?? new Map<number, AbortController>();
		this.#hosted.set(link, jobs);
		jobs.set(id, controller);
		const outcome = await this.host.run(service, {
			...fields, key, id: `${link.peer.incarnation}/${id}`, startByMs: now + startInMs, deadlineMs: now + deadlineInMs,
		}, controller.signal);
		jobs.delete(id);
		const isSent = 'results' in outcome
			? link.send({type: 'stage-results', id, results: [...outcome.results]})
			: link.send({type: 'stage-failure', id, failure: outcome.failure, retryAfterMs: Math.max(0, outcome.retryAfterMs)});
		if (!isSent && 'results' in outcome) {
			this.host.free(service, outcome.results);
		}
	}
}
