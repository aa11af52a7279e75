// Stand-in of the platform's store: keyed topics of one partition, as PROTOCOL.md tells.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const readHeadBytes = 16;
const lengthBytes = 4;

function encodeRecord({key, value}) {
	const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value ?? Buffer.alloc(0)]);
	const length = Buffer.alloc(lengthBytes);
	length.writeUInt32BE(content.length);
	return Buffer.concat([length, content]);
}

/** Store on a loopback address, with the operator's and the engines' records. */
export class Store {
	static async start() {
		const store = new Store();
		await new Promise(resolve => {
			store.#server.listen(0, '127.0.0.1', resolve);
		});
		return store;
	}

	#topics = new Map();
	#readers = new Set();
	#server = createServer((req, res) => {
		void this.#handle(req, res);
	});

	get address() {
		return `127.0.0.1:${this.#server.address().port}`;
	}

	/** Writes a record; `undefined` as value deletes the key. */
	put(name, key, value) {
		const bytes = Buffer.isBuffer(value) ? value : (value === undefined ? undefined : Buffer.from(JSON.stringify(value)));
		const topic = this.#topic(name);
		topic.push({key, value: bytes});
		for (const wake of this.#readers) {
			wake(topic);
		}
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	#topic(name) {
		if (!this.#topics.has(name)) {
			this.#topics.set(name, []);
		}

		return this.#topics.get(name);
	}

	async #handle(req, res) {
		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		const {pathname, searchParams} = new URL(req.url, 'http://store');
		const topic = this.#topic(searchParams.get('topic') ?? '');
		switch (pathname) {
			case '/log-newest': {
				const newest = new Map(topic.map((record, offset) => [record.key, {...record, offset}]));
				const items = [...newest.values()].filter(({value}) => value?.length > 0).map(({key, value, offset}) => ({key, value: value.toString('base64'), offset}));
				res.end(JSON.stringify({items, 'has-more': false, end: topic.length}));

				break;
			}

			case '/log-read': {
				await this.#read(res, topic, searchParams);

				break;
			}

			case '/log-append': {
				this.#append(res, searchParams, Buffer.concat(chunks));

				break;
			}

			default: {
				res.writeHead(404).end();
			}
		}
	}

	async #read(res, topic, query) {
		const from = Number(query.get('from'));
		const waitMs = Number(query.get('wait-ms') ?? 0);
		if (from > topic.length) {
			res.writeHead(410).end(JSON.stringify({first: 0}));
			return;
		}

		if (from >= topic.length && waitMs > 0) {
			await new Promise(resolve => {
				const wake = changed => {
					if (changed === undefined || changed === topic) {
						clearTimeout(timer);
						this.#readers.delete(wake);
						resolve();
					}
				};

				const timer = setTimeout(wake, waitMs);
				this.#readers.add(wake);
			});
		}

		const head = Buffer.alloc(readHeadBytes);
		head.writeBigUInt64BE(BigInt(topic.length), 0);
		res.end(Buffer.concat([head, ...topic.slice(from).map(record => encodeRecord(record))]));
	}

	#append(res, query, body) {
		const name = query.get('topic');
		const topic = this.#topic(name);
		const at = query.get('at');
		if (at !== null && Number(at) !== topic.length) {
			res.writeHead(412).end(JSON.stringify({end: topic.length}));
			return;
		}

		const offset = topic.length;
		for (let position = 0; position < body.length;) {
			const end = position + lengthBytes + body.readUInt32BE(position);
			const keyStart = position + lengthBytes + 1;
			const keyEnd = keyStart + body[keyStart - 1];
			this.put(name, body.subarray(keyStart, keyEnd).toString(), body.subarray(keyEnd, end));
			position = end;
		}

		res.end(JSON.stringify({offset, end: topic.length}));
	}
}
