import {createServer, type ServerResponse} from 'node:http';
import {errorMessage} from '../errors/index.js';
import {
	closeServer, listen, type Listen, type ListenAddress,
} from '../http/index.js';

/** HTTP server for readiness or metrics. */
export interface ControlServer {
	/** Stops listening and closes all connections. */
	close(): Promise<void>;
}

/** Response of a control endpoint. */
export interface ControlResponse {
	readonly status: number;
	readonly body: string;
	readonly contentType?: string;
}

/** Starts a server with one handler per path; other paths return 404. Throws if `bind`, by default one try, cannot bind the address. */
export async function startControlServer(options: {listen: ListenAddress; bind?: Listen; paths: Readonly<Record<string, () => Promise<ControlResponse>>>}): Promise<ControlServer> {
	const server = createServer((req, res) => {
		void respond(res, options.paths[req.url ?? '']);
	});
	await (options.bind ?? listen)(server, options.listen);
	return {
		async close() {
			await closeServer(server);
		},
	};
}

async function respond(res: ServerResponse, handler: (() => Promise<ControlResponse>) | undefined): Promise<void> {
	try {
		const {status, body, contentType = 'text/plain'} = await handler?.() ?? {status: 404, body: ''};
		res.writeHead(status, {'content-type': contentType}).end(body);
	} catch (err) {
		res.writeHead(500).end(errorMessage(err));
	}
}
