import type {IncomingMessage} from 'node:http';
import {ReadingGate} from '../http/index.js';
import type {TurnBudget} from './turn-budget.js';

/** Work for one chunk besides that for its bytes, and work from which the reading may be deferred: smaller requests never wait for larger ones. */
const chunkUnits = 64;
const minDeferredUnits = 32 * 1024;

/** Options of {@link RequestPacer}. */
export interface RequestPacerOptions {
	readonly turnBudget: TurnBudget;
	/** Called when the reading starts or stops to wait for a later turn. */
	readonly onDeferred?: (isDeferred: boolean) => void;
}

/**
 * Reads a request as far as the time of a turn allows, and not while it is held.
 *
 * @example
 * req.on('readable', () => { pacer.count(req.read().length); });
 * pacer.setHeld(true);
 */
export class RequestPacer {
	static create(req: IncomingMessage, options: RequestPacerOptions): RequestPacer {
		return new RequestPacer(ReadingGate.create(req), options);
	}

	#units = 0;
	#isDeferred = false;
	#isHeld = false;
	#isStopped = false;

	private constructor(private readonly gate: ReadingGate, private readonly options: RequestPacerOptions) {}

	/** Counts a chunk that has been read; call it before the chunk is handled. */
	count(bytes: number): void {
		const {turnBudget, onDeferred} = this.options;
		turnBudget.begin();
		this.#units += bytes + chunkUnits;
		if (this.#isDeferred || this.#isStopped || this.#units < minDeferredUnits || !turnBudget.isUsedUp()) {
			return;
		}

		this.#units = 0;
		this.#isDeferred = true;
		this.#move();
		onDeferred?.(true);
		turnBudget.beforeLaterTurn(() => {
			this.#isDeferred = false;
			this.#move();
			if (!this.#isStopped) {
				onDeferred?.(false);
			}
		});
	}

	/** Holds the reading, or lets it go on. */
	setHeld(isHeld: boolean): void {
		this.#isHeld = isHeld;
		this.#move();
	}

	/** Leaves the reading to others. */
	stop(): void {
		this.#isStopped = true;
		this.gate.release();
	}

	#move(): void {
		if (this.#isStopped) {
			return;
		}

		if (this.#isHeld || this.#isDeferred) {
			this.gate.close();
		} else {
			this.gate.open();
		}
	}
}
