import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/**
 * Stand-in of the platform's metadata store: keyed topics of one partition, with the calls that entry VMs make
 * (PROTOCOL.md, "The platform's metadata store"). It loses nothing, and answers each call after the usual 4 ms.
 */
export class Store {
	static async create(host = '127.0.0.1') {
		const store = new Store(host);
		await new Promise(resolve => {
			store.server.listen(0, host, resolve);
		});
		return store;
	}

	constructor(host) {
		this.host = host;
		this.topics = new Map();
		this.waiting = new Set();
		this.views = [];
		this.server = createServer((req, res) => {
			void this.handle(req, res, value => value);
		});
	}

	/**
	 * Opens the store at a further address, at which the addresses of engines are those of the reader's own way to them:
	 * `addressOf` returns the address of a proxy for that of an engine.
	 */
	async openView(addressOf) {
		const server = createServer((req, res) => {
			void this.handle(req, res, value => {
				if (value.length === 0) {
					return value;
				}

				const entry = JSON.parse(value.toString());
				return Buffer.from(JSON.stringify({...entry, address: addressOf(entry.address)}));
			});
		});
		this.views.push(server);
		await new Promise(resolve => {
			server.listen(0, this.host, resolve);
		});
		return `${this.host}:${server.address().port}`;
	}

	get address() {
		return `${this.host}:${this.server.address().port}`;
	}

	/** Writes a record as the operator or an engine does. */
	put(topicName, key, value) {
		this.append(topicName, [{key, value: Buffer.from(JSON.stringify(value))}]);
	}

	remove(topicName, key) {
		this.append(topicName, [{key, value: Buffer.alloc(0)}]);
	}

	topic(name) {
		if (!this.topics.has(name)) {
			this.topics.set(name, []);
		}

		return this.topics.get(name);
	}

	append(name, records) {
		const topic = this.topic(name);
		const offset = topic.length;
		topic.push(...records);
		const waiting = [...this.waiting];
		for (const wake of waiting) {
			wake();
		}

		return {offset, end: topic.length};
	}

	async handle(req, res, rewriteEntry) {
		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		const {pathname, searchParams} = new URL(req.url, 'http://store');
		const name = searchParams.get('topic') ?? '';
		await new Promise(resolve => {
			setTimeout(resolve, 4);
		});
		switch (pathname) {
			case '/log-newest': {
				this.sendNewest(res, name, rewriteEntry);
				break;
			}

			case '/log-read': {
				await this.read(res, name, {from: Number(searchParams.get('from')), waitMs: Number(searchParams.get('wait-ms') ?? 0), rewriteEntry});
				break;
			}

			case '/log-append': {
				this.appendCall(res, name, {at: searchParams.get('at'), body: Buffer.concat(chunks)});
				break;
			}

			default: {
				sendJson(res, 404, {});
			}
		}
	}

	sendNewest(res, name, rewriteEntry) {
		const topic = this.topic(name).map(record => rewrite(name, record, rewriteEntry));
		const newest = new Map(topic.map((record, offset) => [record.key, {...record, offset}]));
		const items = [...newest.values()].filter(({value}) => value.length > 0).map(({key, value, offset}) => ({key, value: value.toString('base64'), offset}));
		sendJson(res, 200, {items, 'has-more': false, end: topic.length});
	}

	async read(res, name, {from, waitMs, rewriteEntry}) {
		const topic = this.topic(name);
		if (from > topic.length) {
			sendJson(res, 410, {first: 0});
			return;
		}

		const untilMs = Date.now() + waitMs;
		while (topic.length <= from && Date.now() < untilMs && !res.destroyed) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					this.waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, untilMs - Date.now());
				this.waiting.add(wake);
			});
		}

		const head = Buffer.alloc(16);
		head.writeBigUInt64BE(BigInt(topic.length), 0);
		const records = topic.slice(from).map(record => {
			const {key, value} = rewrite(name, record, rewriteEntry);
			const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value]);
			const length = Buffer.alloc(4);
			length.writeUInt32BE(content.length);
			return Buffer.concat([length, content]);
		});
		const body = Buffer.concat([head, ...records]);
		res.writeHead(200, {'content-length': body.length, 'store-era': '1'});
		res.end(body);
	}

	appendCall(res, name, {at, body}) {
		if (name === 'keyed.op' || name === 'keyed.servers') {
			sendJson(res, 403, {});
			return;
		}

		if (at !== null && Number(at) !== this.topic(name).length) {
			sendJson(res, 412, {end: this.topic(name).length});
			return;
		}

		const records = [];
		for (let position = 0; position + 4 <= body.length;) {
			const start = position + 4;
			position = start + body.readUInt32BE(position);
			const content = body.subarray(start, position);
			const keyEnd = 1 + content[0];
			records.push({key: content.subarray(1, keyEnd).toString(), value: content.subarray(keyEnd)});
		}

		sendJson(res, 200, this.append(name, records));
	}

	async close() {
		for (const server of [this.server, ...this.views]) {
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		}
	}
}

function rewrite(topicName, record, rewriteEntry) {
	return topicName === 'keyed.servers' ? {...record, value: rewriteEntry(record.value)} : record;
}

function sendJson(res, status, content) {
	const body = JSON.stringify(content);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body), 'store-era': '1'});
	res.end(body);
}
