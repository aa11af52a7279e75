/** Returns the message of a thrown value, with the message of its cause. */
export function errorMessage(err: unknown): string {
	if (!(err instanceof Error)) {
		return String(err);
	}

	const cause = err.cause instanceof Error && !err.message.includes(err.cause.message) ? ` (${err.cause.message})` : '';
	return `${err.message}${cause}`;
}
