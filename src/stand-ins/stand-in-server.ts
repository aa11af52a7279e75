import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {errorMessage} from '../errors/index.js';
import {
	BodyError, closeServer, listen, readJsonBody, sendJson, type ListenAddress,
} from '../http/index.js';

/** Handler of a route. Returns the value to send as JSON, or `undefined` when it has sent the response itself or sends none. */
export type RouteHandler = (input: {body: unknown; query: URLSearchParams; req: IncomingMessage; res: ServerResponse; params: readonly string[]}) => Promise<unknown> | unknown;

/** Route of a stand-in. The capture groups of the path pattern become the `params` of the handler. */
export type Route = readonly [method: string, path: RegExp, handler: RouteHandler];

const maxBodyBytes = 32 * 1024 * 1024;

/** HTTP server of a stand-in. @internal */
export class StandInServer {
	static async create(options: {listen: ListenAddress; routes: readonly Route[]; headers?: () => Record<string, string>}): Promise<StandInServer> {
		const server = createServer((req, res) => {
			void handle(req, res, options.routes, options.headers?.() ?? {});
		});
		const port = await listen(server, options.listen);
		return new StandInServer(server, `http://${options.listen.host}:${port}`);
	}

	private constructor(private readonly server: Server, readonly origin: string) {}

	/** Closes the listener and all connections immediately. */
	async close(): Promise<void> {
		await closeServer(this.server);
	}
}

async function handle(req: IncomingMessage, res: ServerResponse, routes: readonly Route[], headers: Record<string, string>): Promise<void> {
	const url = new URL(req.url ?? '/', 'http://stand-in');
	for (const [method, pattern, handler] of routes) {
		const match = pattern.exec(url.pathname);
		if (req.method !== method || !match) {
			continue;
		}

		try {
			const body = method === 'POST' ? await readJsonBody(req, maxBodyBytes) : undefined;
			for (const [name, value] of Object.entries(headers)) {
				res.setHeader(name, value);
			}

			const result = await handler({
				body, query: url.searchParams, req, res, params: match.slice(1),
			});
			if (result !== undefined) {
				sendJson(res, 200, result);
			}
		} catch (err) {
			sendJson(res, err instanceof BodyError ? 400 : 500, {message: errorMessage(err)});
		}

		return;
	}

	sendJson(res, 404, {message: 'Cannot serve the path: it is unknown'});
}
