import type {IncomingMessage, ServerResponse} from 'node:http';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {OperatorService} from '../gen/guavamill/v1/operator_pb.js';
import {sendJson} from '../http/index.js';
import {apply, get, plan} from './change-calls.js';
import type {OperatorParts} from './operator-parts.js';
import {drain, trace} from './vm-calls.js';
import {status} from './vm-status.js';

/** Largest request. The configuration at the target size is well below 1 MiB. */
const maxRequestBytes = 8 * 1024 * 1024;

/**
 * Returns the HTTP handler of the operators' RPC: Connect, with JSON or binary messages. Other paths answer 404.
 *
 * @example
 * const handler = createOperatorHandler(parts);
 */
export function createOperatorHandler(parts: OperatorParts): (req: IncomingMessage, res: ServerResponse) => void {
	return connectNodeAdapter({
		routes(router) {
			router.service(OperatorService, {
				apply: req => apply(parts, req),
				plan: req => plan(parts, req),
				get: req => get(parts, req),
				status: () => status(parts),
				trace: req => trace(parts, req),
				drain: req => drain(parts, req),
			});
		},
		readMaxBytes: maxRequestBytes,
		// Scripts read fields such as a revision of 0, which plain proto3 JSON leaves out.
		jsonOptions: {alwaysEmitImplicit: true},
		fallback(_req, res) {
			// The operators' server speaks HTTP/1.1 only.
			sendJson(res as ServerResponse, 404, {message: 'Cannot serve the path: it is unknown'});
		},
	});
}
