/** Load of a target at the moment of a response, as the target tells it. */
export interface TargetLoad {
	/** Number of requests that run. */
	readonly running: number;
	/** Number of requests that wait. */
	readonly waiting: number;
	/** Number of requests that can run at once. */
	readonly slots: number;
	/** Time that work takes as a multiple of the usual one; `undefined` if the target does not tell. */
	readonly slowdown: number | undefined;
}
