import type {IncomingMessage, ServerResponse} from 'node:http';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {OperatorService} from '../gen/guavamill/v1/operator_pb.js';
import {sendJson} from '../http/index.js';
import {apply, get, plan} from './config-handlers.js';
import type {OperatorDependencies} from './operator-dependencies.js';
import {drain, trace} from './vm-handlers.js';
import {status} from './vm-status.js';

/** Maximum request size. The configuration of a deployment of the design size is well below 1 MiB. */
const maxRequestBytes = 8 * 1024 * 1024;

/**
 * Returns the HTTP handler of the operator service: the Connect protocol with JSON or binary messages. Responds with
 * status 404 to other paths.
 *
 * @example
 * const handler = createOperatorHandler(dependencies);
 */
export function createOperatorHandler(dependencies: OperatorDependencies): (req: IncomingMessage, res: ServerResponse) => void {
	return connectNodeAdapter({
		routes(router) {
			router.service(OperatorService, {
				apply: req => apply(dependencies, req),
				plan: req => plan(dependencies, req),
				get: req => get(dependencies, req),
				status: () => status(dependencies),
				trace: req => trace(dependencies, req),
				drain: req => drain(dependencies, req),
			});
		},
		readMaxBytes: maxRequestBytes,
		// Scripts read fields with default values, such as revision 0, which proto3 JSON omits by default.
		jsonOptions: {alwaysEmitImplicit: true},
		fallback(_req, res) {
			// The operator server accepts HTTP/1.1 only, so `res` is never an `Http2ServerResponse`.
			sendJson(res as ServerResponse, 404, {message: 'Cannot serve the path: it is unknown'});
		},
	});
}
