import type {Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';

/** Interval of the lines about further errors of one place, which give their number. */
const repeatMs: Ms = 1000;
/** Maximum number of places that are told apart; the errors of further ones count as of `other`. */
const maxPlaces = 50;
/** Lengths to which the text and the stack of an error are logged. */
const maxMessageLength = 500;
const maxStackLength = 2000;

/** Dependencies of {@link UnhandledErrors}. */
export interface UnhandledErrorsOptions {
	readonly clock: Clock;
	/** Returns the logger for the next line. */
	readonly logger: () => PartLogger;
}

/** Errors of a place; `isWaiting` while further ones are collected for the next line. */
type PlaceState = {count: number; loggedCount: number; isWaiting: boolean; message: string};

/**
 * Logs errors that nothing has handled, by the place that threw them: the first of a place with its stack, further ones by
 * their number, since one cause may touch every request in progress.
 *
 * @example
 * process.on('uncaughtException', err => errors.record(err));
 */
export class UnhandledErrors {
	static create(options: UnhandledErrorsOptions): UnhandledErrors {
		return new UnhandledErrors(options);
	}

	readonly #places = new Map<string, PlaceState>();

	private constructor(private readonly options: UnhandledErrorsOptions) {}

	/** Number of errors by place. */
	get counts(): Record<string, number> {
		return Object.fromEntries([...this.#places].map(([place, {count}]) => [place, count]));
	}

	/** Records whatever was thrown, and returns its place. */
	record(thrown: unknown): string {
		const {message, stack} = describe(thrown);
		const found = placeOf(message, stack);
		const place = this.#places.has(found) || this.#places.size < maxPlaces ? found : 'other';
		const state = this.#places.get(place) ?? {
			count: 0, loggedCount: 0, isWaiting: false, message,
		};
		this.#places.set(place, state);
		state.count++;
		state.message = message;
		if (!state.isWaiting) {
			this.#log(place, state, state.loggedCount === 0 ? stack : undefined);
		}

		return place;
	}

	/** Logs the errors of a place since its last line, and collects further ones for a while. */
	#log(place: string, state: PlaceState, stack?: string): void {
		const {clock, logger} = this.options;
		logger().error('An error was not handled; the process goes on.', {
			place, error: state.message, ...(stack === undefined ? {} : {stack}), errors: state.count - state.loggedCount, total: state.count,
		});
		state.loggedCount = state.count;
		state.isWaiting = true;
		clock.after(repeatMs, () => {
			state.isWaiting = false;
			if (state.count > state.loggedCount) {
				this.#log(place, state);
			}
		});
	}
}

/** Returns the text and the stack of whatever was thrown; values that throw when they are read have neither. */
function describe(thrown: unknown): {message: string; stack: string} {
	try {
		const {message, stack} = thrown instanceof Error ? thrown : {message: String(thrown), stack: ''};
		return {message: String(message).slice(0, maxMessageLength), stack: String(stack ?? '').slice(0, maxStackLength)};
	} catch {
		return {message: 'a value without text', stack: ''};
	}
}

/** Returns the innermost function of the stack that is not of the runtime, with its position in its file. */
function placeOf(message: string, stack: string): string {
	const frame = stack.split('\n').find(line => /^\s+at /.test(line) && !line.includes('node:'));
	const match = frame && /^\s+at (?:(?<name>.+?) \()?(?:.*[/\\])?(?<position>[^/\\)]+)\)?$/.exec(frame)?.groups;
	return match ? [match.name, match.position].filter(Boolean).join(' ') : message.slice(0, 80);
}
