/** Returns the message of a thrown value, followed by the message of its cause unless that is already included. */
export function errorMessage(err: unknown): string {
	if (!(err instanceof Error)) {
		return String(err);
	}

	const cause = err.cause instanceof Error && !err.message.includes(err.cause.message) ? ` (${err.cause.message})` : '';
	return `${err.message}${cause}`;
}
