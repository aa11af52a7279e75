import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import process from 'node:process';
import type {Clock, Ms} from '../clock/index.js';
import type {TurnBudget} from './turn-budget.js';

/** Bytes that are parsed at a time: few at first, more while they take little time. */
const minSliceBytes = 2048;
const maxSliceBytes = 64 * 1024;
const quickSliceMs: Ms = 0.25;
const slowSliceMs: Ms = 1;
/** Bytes of a connection from which its parsing may be deferred: smaller requests never wait for larger ones. */
const minDeferredBytes = 8 * 1024;

/** Options of {@link CallerConnection}. */
export interface CallerConnectionOptions {
	readonly clock: Pick<Clock, 'now'>;
	readonly turnBudget: TurnBudget;
}

/**
 * Hands the bytes of a caller's connection to the HTTP server in slices. A block of 64 KiB may hold hundreds of requests,
 * or ten thousand chunks of one byte, and is parsed at once otherwise. Slices wait for a later turn once the time of this
 * one is used up, and while anybody holds the connection; it is then not read either.
 *
 * @example
 * server.on('connection', socket => {
 * 	connections.set(socket, CallerConnection.create(socket, {clock, turnBudget}));
 * });
 */
export class CallerConnection {
	/** Takes the bytes over from the HTTP server; call it when the server has accepted the connection. */
	static create(socket: Socket, options: CallerConnectionOptions): CallerConnection {
		return new CallerConnection(socket, options);
	}

	readonly #parse: ((bytes: Buffer) => void) | undefined;
	/** Tells the HTTP server of the end, which must not overtake bytes that are not parsed yet. */
	readonly #finish: (() => void) | undefined;
	#hasEnded = false;
	#unparsed: Buffer[] = [];
	#sliceBytes = minSliceBytes;
	/** Bytes parsed since the parsing was last deferred or the last request began. */
	#parsedBytes = 0;
	#isDeferred = false;
	#isScheduled = false;
	#isPaused = false;
	readonly #holds = new Set<symbol>();

	private constructor(private readonly socket: Socket, private readonly options: CallerConnectionOptions) {
		const [parse] = socket.listeners('data') as Array<(bytes: Buffer) => void>;
		this.#parse = parse;
		if (parse) {
			socket.removeListener('data', parse);
			socket.on('data', this.#onData);
			socket.on('resume', this.#onResume);
			// The first one is that of the socket itself.
			this.#finish = socket.listeners('end').slice(1).at(-1) as (() => void) | undefined;
		}

		if (this.#finish) {
			socket.removeListener('end', this.#finish);
			socket.on('end', this.#onEnd);
		}
	}

	/** Whether the process itself does not read on for now. */
	get isDeferred(): boolean {
		return this.#isDeferred;
	}

	/** Whether anybody holds the connection. */
	get isHeld(): boolean {
		return this.#holds.size > 0;
	}

	/** Bytes that have been received and not been parsed yet. */
	get unparsedBytes(): number {
		return this.#unparsed.reduce((sum, {length}) => sum + length, 0);
	}

	/** Stops reading until the function that is returned is called. */
	hold(): () => void {
		const hold = Symbol('hold');
		this.#holds.add(hold);
		this.#pause();
		return () => {
			if (this.#holds.delete(hold)) {
				this.#schedule();
			}
		};
	}

	/** Starts to count the bytes of the next request. */
	beginRequest(): void {
		this.#sliceBytes = minSliceBytes;
		this.#parsedBytes = 0;
	}

	readonly #onData = (bytes: Buffer) => {
		// Most requests are small, and not worth measuring.
		if (this.#unparsed.length === 0 && !this.#isDeferred && this.#holds.size === 0 && this.#parsedBytes + bytes.length < minDeferredBytes) {
			this.#parsedBytes += bytes.length;
			this.#parse!.call(this.socket, bytes);
			return;
		}

		this.#unparsed.push(bytes);
		if (!this.#isScheduled) {
			this.#parseSlice();
		}
	};

	/** A connection that is resumed by the HTTP server emits its end even if it is paused again at once. */
	readonly #onEnd = () => {
		this.#hasEnded = true;
		this.#finishIfParsed();
	};

	#finishIfParsed(): void {
		if (this.#hasEnded && this.#unparsed.length === 0 && !this.socket.destroyed) {
			this.#hasEnded = false;
			this.#finish!.call(this.socket);
		}
	}

	/** The HTTP server asks for more, which is here already. */
	readonly #onResume = () => {
		if (this.#unparsed.length > 0 || this.#holds.size > 0) {
			this.#pause();
		}
	};

	#pause(): void {
		this.#isPaused = true;
		this.socket.pause();
	}

	/** Goes on after what the last slice has led to. */
	#schedule(): void {
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			process.nextTick(() => {
				this.#isScheduled = false;
				this.#parseSlice();
			});
		}
	}

	#parseSlice(): void {
		const {socket, options: {clock, turnBudget}} = this;
		if (this.#isDeferred || this.#holds.size > 0) {
			this.#pause();
			return;
		}

		const slice = socket.destroyed ? undefined : this.#takeSlice();
		if (!slice) {
			if (this.#isPaused && !socket.destroyed) {
				this.#isPaused = false;
				socket.resume();
			}

			this.#finishIfParsed();
			return;
		}

		turnBudget.begin();
		const startedMs = clock.now();
		this.#parsedBytes += slice.length;
		this.#parse!.call(socket, slice);
		const tookMs = clock.now() - startedMs;
		if (tookMs <= quickSliceMs) {
			this.#sliceBytes = Math.min(maxSliceBytes, this.#sliceBytes * 2);
		} else if (tookMs >= slowSliceMs) {
			this.#sliceBytes = minSliceBytes;
		}

		if (this.#parsedBytes >= minDeferredBytes && turnBudget.isUsedUp()) {
			this.#defer();
		} else if (this.#unparsed.length > 0 || this.#isPaused) {
			this.#schedule();
		} else {
			this.#finishIfParsed();
		}
	}

	#defer(): void {
		this.#isDeferred = true;
		this.#parsedBytes = 0;
		this.#pause();
		this.options.turnBudget.beforeLaterTurn(() => {
			this.#isDeferred = false;
			this.#parseSlice();
		});
	}

	#takeSlice(): Buffer | undefined {
		const first = this.#unparsed[0];
		if (!first || first.length <= this.#sliceBytes) {
			return this.#unparsed.shift();
		}

		this.#unparsed[0] = first.subarray(this.#sliceBytes);
		return first.subarray(0, this.#sliceBytes);
	}
}
