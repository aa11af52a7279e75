// Stand-in of an engine: answers as PROTOCOL.md tells, with one handler for the requests that it runs.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** Engine on a loopback address that registers itself in the store. */
export class Engine {
	/** `handle(request, res, engine)` answers a request whose body has arrived. */
	static async start(options) {
		const engine = new Engine(options);
		await new Promise(resolve => {
			engine.server.listen(options.port ?? 0, options.ip ?? '127.0.0.1', resolve);
		});
		engine.port = engine.server.address().port;
		return engine;
	}

	/** Requests that have arrived, with times in Unix ms. */
	arrivals = [];
	state = 'ready';
	#beat;
	#sequence = 0;
	#born = Date.now();

	constructor(options) {
		this.options = options;
		this.id = options.id;
		this.server = createServer((req, res) => {
			void this.#handle(req, res);
		});
	}

	get address() {
		return `${this.options.ip ?? '127.0.0.1'}:${this.port}`;
	}

	/** Writes the entry of this engine, and again at every heartbeat. */
	register(store, heartbeatMs = 1200) {
		this.#write(store);
		this.#beat = setInterval(() => {
			this.#write(store);
		}, heartbeatMs);
	}

	/** Reports that this engine is draining. */
	drain(store) {
		this.state = 'draining';
		this.#write(store);
	}

	/** Removes the entry of this engine and exits. */
	leave(store) {
		store.put('keyed.servers', this.id, undefined);
		this.close();
	}

	/** Headers that every response to a request carries. */
	headers(request) {
		return {'x-guavamill-attempt-id': request.id, 'x-guavamill-response-stamp': `stamp-${this.id}-${request.id}`};
	}

	close() {
		clearInterval(this.#beat);
		this.server.closeAllConnections();
		this.server.close();
	}

	#write(store) {
		const {service, zone = 'riga-a', slots = 6} = this.options;
		store.put('keyed.servers', this.id, {
			service, address: this.options.announced ?? this.address, zone, version: 'v1', slots, state: this.state, 'cold-remaining-ms': 0, sequence: this.#sequence++, born: this.#born,
		});
	}

	async #handle(req, res) {
		const request = {
			atMs: Date.now(), id: req.headers['x-guavamill-attempt-id'] ?? '', method: req.method, url: req.url, headers: req.headers, closed: false,
		};
		res.on('close', () => {
			request.closed = true;
		});
		res.on('error', () => undefined);
		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		request.body = Buffer.concat(chunks).toString();
		if (req.url === '/report' || req.url === '/health') {
			res.setHeader('x-guavamill-instance-id', this.id);
			res.end('{}');
			return;
		}

		const expected = req.headers['x-guavamill-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			res.writeHead(421, {'x-guavamill-attempt-id': request.id, 'x-guavamill-not-executed': '1', 'x-guavamill-instance-id': this.id}).end();
			return;
		}

		this.arrivals.push(request);
		this.options.handle(request, res, this);
	}
}
