import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	closeServer, listen, sendJson, type ListenAddress,
} from '../http/index.js';
import type {Metrics} from './metrics.js';

/** Handler of requests for paths other than `/metrics`, `/ready` and `/live`. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => void;

/**
 * HTTP server for operators: RPC, metrics, readiness and liveness.
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
