import {createServer, type ServerResponse} from 'node:http';
import {errorMessage} from '../errors/index.js';
import {closeServer, listen, type ListenAddress} from '../http/index.js';

/** Server for readiness or metrics. */
export interface ControlServer {
	close(): Promise<void>;
}

/** Answer to a question. */
export interface ControlAnswer {
	readonly status: number;
	readonly body: string;
	readonly contentType?: string;
}

/** Serves answers by path, 404 for others. Throws when the address cannot be bound. */
export async function startControlServer(options: {listen: ListenAddress; paths: Readonly<Record<string, () => Promise<ControlAnswer>>>}): Promise<ControlServer> {
	const server = createServer((req, res) => {
		void answer(res, options.paths[req.url ?? '']);
	});
	await listen(server, options.listen);
	return {
		async close() {
			await closeServer(server);
		},
	};
}

async function answer(res: ServerResponse, read: (() => Promise<ControlAnswer>) | undefined): Promise<void> {
	try {
		const {status, body, contentType = 'text/plain'} = await read?.() ?? {status: 404, body: ''};
		res.writeHead(status, {'content-type': contentType}).end(body);
	} catch (err) {
		res.writeHead(500).end(errorMessage(err));
	}
}
