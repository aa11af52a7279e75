/** Names of headers of replies of targets in guavamill's own protocol, which clients and simulated targets share. */
export const targetHeaders = {
	/** Start id of the target, which changes with each of its starts. */
	startId: 'x-guavamill-start-id',
	/** `true` while the target is draining. */
	draining: 'x-guavamill-draining',
} as const;
