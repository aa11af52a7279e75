import type {Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';
import type {MeshStageRunner} from '../pools/index.js';
import {ShutdownSchedule, type RelayServer} from '../relay/index.js';
import type {MeshMember} from './mesh-member.js';
import type {PieceShareLoans} from './piece-share-loans.js';
import type {RelayVmLifecycle} from './relay-vm-lifecycle.js';
import {tryShutdownStep} from './try-shutdown-step.js';

/** Maximum time in which the last responses are written before their connections are closed. */
const flushTimeoutMs: Ms = 200;
const flushCheckIntervalMs: Ms = 10;
/** Number of turns of the event loop in which a connection that waits is accepted, a request on it read, and a refusal written. */
const turnsToRead = 4;
/** Bound on how often these turns are repeated while more arrives: each turn accepts one connection. */
const maxReadRounds = 100;
/** Interval at which a shutdown checks for requests in progress. */
const checkIntervalMs: Ms = 100;

/** Options of {@link Drain}. */
export interface DrainOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly lifecycle: Pick<RelayVmLifecycle, 'state' | 'send'>;
	readonly server: () => Pick<RelayServer, 'inFlight' | 'arrivals' | 'rejectLate' | 'closeIdleConnections' | 'endUnanswered' | 'endRequests'>;
	readonly member: Pick<MeshMember, 'leave'>;
	readonly pieceShares: Pick<PieceShareLoans, 'returnShares'>;
	readonly stages: Pick<MeshStageRunner, 'handOver' | 'hostedPlans'>;
}

/**
 * Drains an entry VM that shuts down: rejects the requests that cannot end in the grace period, and waits for the other
 * requests and hosted stage plans in progress until the grace period ends.
 *
 * @example
 * await drain.run(20_000);
 */
export class Drain {
	static create(options: DrainOptions): Drain {
		return new Drain(options);
	}

	#schedule: ShutdownSchedule | undefined;

	private constructor(private readonly options: DrainOptions) {}

	/** Schedule of the shutdown in progress; `undefined` before it. */
	get schedule(): ShutdownSchedule | undefined {
		return this.#schedule;
	}

	/** Applies a changed grace period to a shutdown in progress. */
	setGrace(graceMs: Ms): void {
		const {clock, logger, server} = this.options;
		const schedule = this.#schedule;
		if (schedule) {
			const now = clock.now();
			this.#schedule = schedule.withGrace(graceMs, now);
			logger.info(this.#schedule === schedule ? 'Kept the end of the shutdown.' : 'Brought the end of the shutdown forward.', {
				grace_ms: graceMs, end_in_ms: Math.round(this.#schedule.endMs - now), last_end_in_ms: Math.round(schedule.lastEndMs - now), in_flight: server().inFlight,
			});
		}
	}

	/** Drains with a grace period. Resolves once the requests have ended or were given their last answers; never rejects. */
	async run(graceMs: Ms): Promise<void> {
		const {clock, logger, lifecycle, member, pieceShares, stages} = this.options;
		const server = this.options.server();
		const startedMs = clock.now();
		let schedule = ShutdownSchedule.create({startedMs, graceMs});
		this.#schedule = schedule;
		lifecycle.send({type: 'SHUTDOWN'});
		await this.#tryStep('leave the mesh', () => {
			member.leave();
		});
		let hasReturnedShares = false;
		const returnShares = async () => this.#tryStep('return shares of retries', () => {
			hasReturnedShares ||= pieceShares.returnShares();
		});
		await returnShares();
		await this.#tryStep('hand over stage plans', () => {
			stages.handOver();
		});
		logger.info('Draining.', {in_flight: server.inFlight, hosted_plans: stages.hostedPlans});
		while (lifecycle.state !== 'stopped') {
			await returnShares();
			await this.#tryStep('reject late requests', () => {
				server.rejectLate();
			});
			await clock.sleep(Math.min(checkIntervalMs, Math.max(0, schedule.nextEndMs(clock.now()) - clock.now())));
			await this.#readArrived();
			const now = clock.now();
			schedule = this.#schedule;
			if (now >= schedule.acceptUntilMs) {
				server.closeIdleConnections();
			}

			const isOver = now >= schedule.endMs;
			if (isOver && now < schedule.lastEndMs) {
				server.endUnanswered();
			}

			const isIdle = server.inFlight === 0 && (isOver || stages.hostedPlans === 0);
			if ((now >= schedule.idleStopMs && isIdle) || now >= schedule.lastEndMs) {
				lifecycle.send({type: 'STOP'});
			}
		}

		await this.#tryStep('end requests', async () => this.#endRequests());
		logger.info('Stopped.', {in_flight: server.inFlight, took_ms: Math.round(clock.now() - startedMs)});
	}

	/** Lets the event loop read what has arrived while the process stood still: timers run before that. */
	async #readArrived(): Promise<void> {
		const server = this.options.server();
		for (let round = 0; round < maxReadRounds; round++) {
			const before = server.arrivals;
			for (let turn = 0; turn < turnsToRead; turn++) {
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}

			if (server.arrivals === before) {
				return;
			}
		}
	}

	/** Gives the requests in progress their last answers and waits until these are written. */
	async #endRequests(): Promise<void> {
		const {clock, logger} = this.options;
		const server = this.options.server();
		if (server.inFlight === 0) {
			return;
		}

		logger.warn('Ending the requests that are still in progress at the end of the grace period.', {in_flight: server.inFlight});
		server.endRequests();
		const endMs = clock.now() + flushTimeoutMs;
		while (server.inFlight > 0 && clock.now() < endMs) {
			await clock.sleep(flushCheckIntervalMs);
		}

		// A response counts as sent once the kernel has it; the caller reads it after that.
		await clock.sleep(flushCheckIntervalMs);
	}

	async #tryStep(step: string, take: () => void | Promise<void>): Promise<void> {
		await tryShutdownStep(this.options.logger, step, take);
	}
}
