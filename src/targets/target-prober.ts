import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {errorMessage, GuavamillError} from '../errors/index.js';
import type {Random} from '../random/index.js';
import type {DeclaredTarget} from './declared-target.js';
import type {DeclaredTargets} from './declared-targets.js';

/** Time between probes of one target; short enough to detect draining within 3 s. */
const defaultIntervalMs: Ms = 1000;
/** Consecutive failed probes after which a target is suspect. */
const maxConsecutiveFailedProbes = 2;
const probeTimeoutMs: Ms = 1000;

/** Options of a `TargetProber`. */
export interface TargetProberOptions {
	readonly clock: Clock;
	readonly random: Random;
	readonly targets: DeclaredTargets;
	readonly intervalMs?: Ms;
	/** Returns whether this entry VM probes a target; by default it probes all. Suspect targets are always probed. */
	readonly shouldProbe?: (target: string, zone: string) => boolean;
}

/**
 * Probes the health and load of the targets at a regular interval.
 *
 * @example
 * const prober = TargetProber.create({clock, random, targets});
 * prober.start();
 */
export class TargetProber {
	/** Creates a prober; call `start` to begin probing. */
	static create(options: TargetProberOptions): TargetProber {
		return new TargetProber(options);
	}

	readonly #stopped = new AbortController();
	readonly #failedProbes = new WeakMap<DeclaredTarget, number>();
	readonly #probing = new WeakSet<DeclaredTarget>();

	private constructor(private readonly options: TargetProberOptions) {}

	start(): void {
		void this.#loop();
	}

	stop(): void {
		this.#stopped.abort();
	}

	async #loop(): Promise<void> {
		const {clock, random, targets} = this.options;
		const intervalMs = this.options.intervalMs ?? defaultIntervalMs;
		while (!this.#stopped.signal.aborted) {
			for (const target of targets.all()) {
				target.requestProbe = () => {
					this.#probeOnNewConnection(target);
				};

				if (!this.#probing.has(target) && this.#needsProbe(target)) {
					// A random delay prevents entry VMs that started together from probing at the same time.
					clock.after(random.float() * intervalMs / 2, () => {
						void this.#probe(target);
					});
				}
			}

			await clock.sleep(intervalMs, this.#stopped.signal);
		}
	}

	#needsProbe(target: DeclaredTarget): boolean {
		return target.state === 'suspect' || (this.options.shouldProbe?.(target.name, target.zone) ?? true);
	}

	/** After a lost call, one failed probe on a new connection is enough to make the target suspect. */
	#probeOnNewConnection(target: DeclaredTarget): void {
		(target.engine ?? target.service)?.renewConnections();
		this.#failedProbes.set(target, maxConsecutiveFailedProbes - 1);
		void this.#probe(target);
	}

	async #probe(target: DeclaredTarget): Promise<void> {
		const port = target.engine ?? target.service;
		if (!port || this.#probing.has(target) || this.#stopped.signal.aborted) {
			return;
		}

		this.#probing.add(target);
		try {
			// The reply to a load request also carries the start id and the draining flag in its headers.
			target.load = await this.#withTimeout(port.load());
			this.#failedProbes.delete(target);
		} catch (err) {
			const failedCount = (this.#failedProbes.get(target) ?? 0) + 1;
			this.#failedProbes.set(target, failedCount);
			if (failedCount >= maxConsecutiveFailedProbes) {
				target.markSuspect(`${failedCount} probes failed: ${errorMessage(err)}`);
			}
		} finally {
			this.#probing.delete(target);
		}
	}

	async #withTimeout<T>(reply: Promise<T>): Promise<T> {
		let cancel: CancelTimer = () => undefined;
		const timeout = new Promise<never>((_resolve, reject) => {
			cancel = this.options.clock.after(probeTimeoutMs, () => {
				reject(new GuavamillError(`Cannot probe the target: no answer within ${probeTimeoutMs} ms`));
			});
		});
		try {
			return await Promise.race([reply, timeout]);
		} finally {
			cancel();
		}
	}
}
