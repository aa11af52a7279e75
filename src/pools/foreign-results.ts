import type {Clock, Ms} from '../clock/index.js';

/** Time after which the producer of a result is forgotten; no result lasts that long. */
const resultTtlMs: Ms = 60_000;

/**
 * Remembers which other host produced a result, by handle: the memory of a result is counted there, so it has to be freed
 * there.
 *
 * @example
 * results.add(['10.1.64.7:8080/91bd3f06'], link);
 * results.takeByHost(handles).get(link);
 */
export class ForeignResults<Host> {
	static create<Host>(clock: Clock): ForeignResults<Host> {
		return new ForeignResults<Host>(clock);
	}

	/** In the order in which they expire. */
	readonly #results = new Map<string, {host: Host; expiresMs: Ms}>();

	private constructor(private readonly clock: Clock) {}

	/** Number of results that are remembered. */
	get size(): number {
		return this.#results.size;
	}

	add(handles: readonly string[], host: Host): void {
		const now = this.clock.now();
		for (const [handle, {expiresMs}] of this.#results) {
			if (expiresMs > now) {
				break;
			}

			this.#results.delete(handle);
		}

		for (const handle of handles) {
			this.#results.set(handle, {host, expiresMs: now + resultTtlMs});
		}
	}

	/** Forgets results and returns them by the host that produced them; those of this host are under `undefined`. */
	takeByHost(handles: readonly string[]): Map<Host | undefined, string[]> {
		const byHost = new Map<Host | undefined, string[]>();
		for (const handle of handles) {
			const host = this.#results.get(handle)?.host;
			this.#results.delete(handle);
			byHost.set(host, [...byHost.get(host) ?? [], handle]);
		}

		return byHost;
	}
}
