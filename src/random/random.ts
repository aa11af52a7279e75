import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Number of initial outputs to discard. The first outputs of xoroshiro128+ correlate with the seed; for small seeds they are all near 0. */
const warmUpSteps = 16;

/**
 * Seeded pseudo-random number generator based on pure-rand. The same seed gives the same sequence.
 *
 * @example
 * const random = Random.create(7);
 * const pick = random.integer(0, 9);
 */
export class Random {
	/** Creates a generator from an integer seed. */
	static create(seed: number): Random {
		return new Random(seed);
	}

	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	private constructor(readonly seed: number) {
		this.#generator = xoroshiro128plus(mixSeed(seed));
		for (let step = 0; step < warmUpSteps; step++) {
			this.#generator.next();
		}
	}

	/** Returns a number in [0, 1). */
	float(): number {
		return (this.#generator.next() >>> 0) / 0x1_00_00_00_00;
	}

	/** Returns an integer in [min, max], both included. */
	integer(min: number, max: number): number {
		return min + Math.floor(this.float() * (max - min + 1));
	}

	/** Returns true with the given probability in [0, 1]. */
	chance(probability: number): boolean {
		return this.float() < probability;
	}

	/** Returns a random element of a non-empty list. */
	pick<T>(items: readonly T[]): T {
		return items[this.integer(0, items.length - 1)]!;
	}

	/** Returns an exponentially distributed number with the given mean, for inter-arrival times. */
	exponential(mean: number): number {
		return -mean * Math.log(1 - this.float());
	}
}

/** Spreads consecutive seeds over all 32 bits with the finalizer of MurmurHash3. */
function mixSeed(seed: number): number {
	let mixed = Math.imul(seed ^ (seed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return mixed ^ (mixed >>> 16);
}
