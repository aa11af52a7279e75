import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {mayBeFollowed} from '../http/index.js';
import type {CallerConnection} from './caller-connection.js';
import type {EndNotice} from './end-notice.js';
import type {Rejection} from './rejection.js';
import {encodeRejection} from './send-rejection.js';

/** Time in which the rest of a rejected request is read and thrown away. */
const maxDrainMs: Ms = 5000;
/** Time for the caller to read the rejection before its connection is closed with bytes that were not read. */
const lingerMs: Ms = 1000;
/** Options of {@link sendEarlyRejection}. */
export interface EarlyRejectionOptions {
	readonly clock: Pick<Clock, 'after'>;
	readonly connection: Pick<CallerConnection, 'hold'>;
	/** Bytes of the rest up to which the connection is kept. */
	readonly maxDrainBytes: number;
	/** Whether to tell the caller to close its connection, unless another request may have arrived on it. */
	readonly isClosing: boolean;
	/** Given when the process ends. */
	readonly endNotice: EndNotice;
}

/** Whether a request has a body. */
export function hasBody({headers}: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined || (headers['content-length'] !== undefined && Number(headers['content-length']) > 0);
}

/**
 * Rejects a request whose body has not been read as a whole. A connection that is closed with bytes that were not read is
 * reset, and its caller may lose the answer: the rest is read and thrown away within bounds of bytes and time.
 *
 * @example
 * sendEarlyRejection(req, res, {status: 404, reason: 'no_route'}, options);
 */
export function sendEarlyRejection(req: IncomingMessage, res: ServerResponse, rejection: Rejection, options: EarlyRejectionOptions): void {
	const {
		clock, connection, maxDrainBytes, endNotice,
	} = options;
	// Who waits for a `100 Continue` may send the body or not after another answer, so that the next request could not be told from it.
	const isClosing = (options.isClosing && !mayBeFollowed(res)) || Number(req.headers['content-length'] ?? 0) > maxDrainBytes || req.headers.expect !== undefined;
	const {body, headers} = encodeRejection(rejection, isClosing);
	res.writeHead(rejection.status, headers);
	res.write(body);
	res.flushHeaders();
	let drainedBytes = 0;
	let isEnded = false;
	let cancelTimer: CancelTimer = () => undefined;
	const end = (isWhole: boolean) => {
		if (isEnded) {
			return;
		}

		isEnded = true;
		cancelTimer();
		endNotice.remove(breakOff);
		const {socket} = req;
		res.end(() => {
			if (!isWhole) {
				socket.destroySoon();
			}
		});
	};

	const breakOff = () => {
		end(false);
	};

	const onReadable = () => {
		const chunk = req.read() as Buffer | null;
		if (!chunk) {
			return;
		}

		drainedBytes += chunk.length;
		if (drainedBytes > maxDrainBytes) {
			req.off('readable', onReadable);
			connection.hold();
			cancelTimer();
			cancelTimer = clock.after(lingerMs, breakOff);
		}
	};

	res.on('close', breakOff);
	if (req.readableEnded || endNotice.isGiven) {
		end(req.readableEnded);
		return;
	}

	cancelTimer = clock.after(maxDrainMs, breakOff);
	endNotice.add(breakOff);
	req.on('readable', onReadable);
	req.on('end', () => {
		end(true);
	});
}
