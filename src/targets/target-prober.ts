import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {errorMessage, GuavamillError} from '../errors/index.js';
import type {Random} from '../random/index.js';
import type {DeclaredTarget} from './declared-target.js';
import type {DeclaredTargets} from './declared-targets.js';

/** Time between probes of one target; draining is then known well within 3 s. */
const defaultIntervalMs: Ms = 1000;
/** Probes failed in a row before a target is suspect. */
const maxFailedProbes = 2;
const probeTimeoutMs: Ms = 1000;

/** Parts of a prober. */
export interface TargetProberOptions {
	readonly clock: Clock;
	readonly random: Random;
	readonly targets: DeclaredTargets;
	readonly intervalMs?: Ms;
	/** True for targets that this entry VM probes itself; the default probes every target. Suspect ones are always probed. */
	readonly isWatched?: (target: string, zone: string) => boolean;
}

/**
 * Probes health and load of the targets.
 *
 * @example
 * const prober = TargetProber.create({clock, random, targets});
 * prober.start();
 */
export class TargetProber {
	static create(options: TargetProberOptions): TargetProber {
		return new TargetProber(options);
	}

	readonly #stopped = new AbortController();
	readonly #failedProbes = new WeakMap<DeclaredTarget, number>();
	readonly #busy = new WeakSet<DeclaredTarget>();

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
				target.onDoubt = () => {
					this.#resolveDoubt(target);
				};

				if (!this.#busy.has(target) && this.#isDue(target)) {
					// Probes are spread over the interval, so that entry VMs started together do not probe together.
					clock.after(random.float() * intervalMs / 2, () => {
						void this.#probe(target);
					});
				}
			}

			await clock.sleep(intervalMs, this.#stopped.signal);
		}
	}

	#isDue(target: DeclaredTarget): boolean {
		return target.state === 'suspect' || (this.options.isWatched?.(target.name, target.zone) ?? true);
	}

	/** After a lost call, the first failed probe is enough. */
	#resolveDoubt(target: DeclaredTarget): void {
		(target.engine ?? target.service)?.renew();
		this.#failedProbes.set(target, maxFailedProbes - 1);
		void this.#probe(target);
	}

	async #probe(target: DeclaredTarget): Promise<void> {
		const port = target.engine ?? target.service;
		if (!port || this.#busy.has(target) || this.#stopped.signal.aborted) {
			return;
		}

		this.#busy.add(target);
		try {
			// The reply to a load report carries start id and draining flag as well.
			target.load = await this.#inTime(port.load());
			this.#failedProbes.delete(target);
		} catch (err) {
			const failed = (this.#failedProbes.get(target) ?? 0) + 1;
			this.#failedProbes.set(target, failed);
			if (failed >= maxFailedProbes) {
				target.suspect(`${failed} probes failed: ${errorMessage(err)}`);
			}
		} finally {
			this.#busy.delete(target);
		}
	}

	async #inTime<T>(reply: Promise<T>): Promise<T> {
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
