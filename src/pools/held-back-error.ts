import type {Ms} from '../clock/index.js';
import {GuavamillError} from '../errors/index.js';

/** A target has not taken a call and asks for none for `retryAfterMs`; NaN if it names what is no time. */
export class HeldBackError extends GuavamillError {
	constructor(message: string, readonly retryAfterMs: Ms) {
		super(message);
	}
}
