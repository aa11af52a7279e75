import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	closeServer, listen, sendJson, type ListenAddress,
} from '../http/index.js';
import type {Metrics} from './metrics.js';

/** Handles requests that are not `/metrics`, `/ready` or `/live`. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => void;

/**
 * HTTP server towards operators: RPC, metrics, readiness, liveness.
 *
 * @internal
 */
export class OperatorServer {
	static async create(options: {listen: ListenAddress; metrics: Metrics; isReady: () => boolean; rpc: HttpHandler}): Promise<OperatorServer> {
		const server = createServer((req, res) => {
			void route(req, res, options);
		});
		const port = await listen(server, options.listen);
		return new OperatorServer(server, port);
	}

	private constructor(private readonly server: Server, readonly port: number) {}

	async close(): Promise<void> {
		await closeServer(this.server);
	}
}

async function route(req: IncomingMessage, res: ServerResponse, options: {metrics: Metrics; isReady: () => boolean; rpc: HttpHandler}): Promise<void> {
	switch (req.url) {
		case '/metrics': {
			res.writeHead(200, {'content-type': options.metrics.registry.contentType});
			res.end(await options.metrics.registry.metrics());
			break;
		}

		case '/ready': {
			const ready = options.isReady();
			sendJson(res, ready ? 200 : 503, {ready});
			break;
		}

		case '/live': {
			sendJson(res, 200, {live: true});
			break;
		}

		default: {
			options.rpc(req, res);
		}
	}
}
