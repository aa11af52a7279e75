/** An abort controller that is linked to source signals. */
export interface LinkedController {
	readonly controller: AbortController;
	/** Removes the listeners from the sources. Must be called when the controller is no longer needed. */
	readonly unlink: () => void;
}

/**
 * Creates a controller that aborts as soon as any of its sources aborts. `AbortSignal.any` would be several times
 * slower, and on Node.js 20 a long-lived source would keep a reference to each signal that it returns.
 *
 * @example
 * const {controller, unlink} = linkController([callerSignal, deadlineSignal]);
 */
export function linkController(sources: readonly AbortSignal[]): LinkedController {
	const controller = new AbortController();
	const abort = () => {
		controller.abort();
	};

	for (const source of sources) {
		if (source.aborted) {
			abort();
		}

		source.addEventListener('abort', abort);
	}

	return {
		controller,
		unlink() {
			for (const source of sources) {
				source.removeEventListener('abort', abort);
			}
		},
	};
}
