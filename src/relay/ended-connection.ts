import type {Socket} from 'node:net';

/** Whether the kernel has received a reset with the end of a connection: instead of an orderly end, or behind one. */
export type ConnectionReset = 'none' | 'instead_of_end' | 'after_end';

/**
 * A connection whose other side has ended it. Node.js reports an end also where a reset has arrived together with the last
 * data, and reports no reset that arrives behind an end.
 *
 * @example
 * const connection = EndedConnection.create(socket);
 * await connection.check(); // 'none'
 */
export class EndedConnection {
	static create(socket: Socket): EndedConnection {
		return new EndedConnection(socket);
	}

	/** Closes the connection as was asked for while it was held. */
	#destroy: (() => void) | undefined;
	#isHeld = false;

	private constructor(private readonly socket: Socket) {}

	/** Resolves once the kernel has accepted all that was written before, with whether it has received a reset by then. */
	async check(): Promise<ConnectionReset> {
		return new Promise(resolve => {
			// Sends nothing, and fails if the kernel has received a reset. After an orderly end the target may reset the
			// connection too (EPIPE), since it takes no more data.
			this.socket.write('', err => {
				resolve(err ? ((err as NodeJS.ErrnoException).code === 'EPIPE' ? 'after_end' : 'instead_of_end') : 'none');
			});
		});
	}

	/**
	 * Keeps the connection open until `release`, whoever closes it: undici does so as soon as it has reported the end of a
	 * response, while data may still have to be written. To be called while the end is handled.
	 */
	hold(): void {
		if (this.#isHeld) {
			return;
		}

		this.#isHeld = true;
		const {socket} = this;
		// Otherwise Node.js ends the other direction as well, and no check is possible.
		socket.allowHalfOpen = true;
		socket.destroy = err => {
			// Only the first call counts, as without the hold: a later one may report a failed check.
			this.#destroy ??= () => {
				socket.destroy(err);
			};

			return socket;
		};
	}

	/** Closes the connection if this was asked for meanwhile. */
	release(): void {
		if (this.#isHeld) {
			this.#isHeld = false;
			// The method of the class again.
			Reflect.deleteProperty(this.socket, 'destroy');
			this.#destroy?.();
		}
	}
}
