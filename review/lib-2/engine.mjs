import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/**
 * Stand-in of an engine (PROTOCOL.md, "Engines" and "Service discovery"): it answers probes, refuses requests for another
 * instance with 421, and gives each other request to its handler. What it has run is in `runs`.
 */
export class Engine {
	static async create({id, host = '127.0.0.1', service, zone = 'riga-a', slots = 64, handle, port = 0}) {
		const engine = new Engine({
			id, host, service, zone, slots, handle,
		});
		await engine.listen(port);
		return engine;
	}

	constructor(options) {
		this.options = options;
		this.born = Date.now();
		this.runs = [];
		this.state = 'ready';
		this.sequence = 1;
		this.server = createServer({keepAliveTimeout: 15_000}, (req, res) => {
			void this.serve(req, res);
		});
	}

	get id() {
		return this.options.id;
	}

	get address() {
		return `${this.options.host}:${this.port}`;
	}

	async listen(port) {
		await new Promise(resolve => {
			this.server.listen(port, this.options.host, resolve);
		});
		this.port = this.server.address().port;
	}

	/** Entry that the engine writes under its id. */
	entry() {
		const {service, zone, slots} = this.options;
		return {
			service, address: this.address, zone, version: 'v1', slots, state: this.state, 'cold-remaining-ms': 0, sequence: this.sequence, born: this.born, stage: 'unified', models: [{name: 'm', version: 1, adapters: []}],
		};
	}

	async serve(req, res) {
		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		const {headers} = req;
		const attemptId = headers['x-guavamill-attempt-id'];
		if (req.method === 'GET' && req.url === '/health') {
			res.writeHead(this.state === 'ready' ? 200 : 503, {'x-guavamill-instance-id': this.id, 'content-length': 0});
			res.end();
			return;
		}

		if (req.method === 'GET' && req.url === '/report') {
			const body = JSON.stringify({
				stage: 'unified', models: [{name: 'm', version: 1, adapters: []}], busy: false, sequence: 1, 'waiting-count': 0, 'running-count': 0, 'kv-used': 0, 'kv-total': 400_000, handles: 0, 'free-mb': 100,
			});
			res.writeHead(200, {'content-type': 'application/json', 'content-length': body.length});
			res.end(body);
			return;
		}

		const expected = headers['x-guavamill-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			res.writeHead(421, {
				'x-guavamill-instance-id': this.id, 'x-guavamill-not-executed': '1', ...(attemptId === undefined ? {} : {'x-guavamill-attempt-id': attemptId}), 'content-length': 0,
			});
			res.end();
			return;
		}

		await this.options.handle({
			req, res, attemptId, body: Buffer.concat(chunks), engine: this,
		});
	}

	/** Records that a request has begun to run. */
	run(attemptId) {
		this.runs.push({attemptId, engine: this.id, atMs: Date.now()});
	}

	async close() {
		this.server.closeAllConnections();
		await new Promise(resolve => {
			this.server.close(resolve);
		});
	}
}

/** Headers of an engine's own answer to a request that it has run. */
export function stamped(attemptId, id) {
	return {'x-guavamill-attempt-id': attemptId, 'x-guavamill-response-stamp': `${id}.${attemptId}`};
}
