import {createServer} from 'node:http';
import type {Registry} from 'prom-client';
import {closeServer, listen, type ListenAddress} from '../http/index.js';

/** Server for readiness and metrics. */
export interface ControlServer {
	close(): Promise<void>;
}

/** Serves `/ready` (200 or 503) and `/metrics`. Throws when the address cannot be bound. */
export async function startControlServer(options: {listen: ListenAddress; registry: Registry; isReady: () => boolean}): Promise<ControlServer> {
	const server = createServer((req, res) => {
		if (req.url === '/metrics') {
			void options.registry.metrics().then(text => {
				res.writeHead(200, {'content-type': options.registry.contentType}).end(text);
			});
			return;
		}

		res.writeHead(req.url === '/ready' ? (options.isReady() ? 200 : 503) : 404, {'content-length': 0}).end();
	});
	await listen(server, options.listen);
	return {
		async close() {
			await closeServer(server);
		},
	};
}
