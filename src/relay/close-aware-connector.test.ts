import {createServer, type AddressInfo, type Socket} from 'node:net';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {createCloseAwareConnector, currentCloseEvent} from './close-aware-connector.js';

const rounds = 50;

describe('createCloseAwareConnector', () => {
	const server = createServer();
	afterEach(() => {
		server.close();
	});

	/** Connects, receives data and the end of the connection, and returns the close event that is reported then. */
	async function closeEventAfter(end: (socket: Socket) => void): Promise<string> {
		const {port} = server.address() as AddressInfo;
		server.once('connection', socket => {
			socket.once('data', () => {
				socket.write('a part', () => {
					end(socket);
				});
			});
		});
		return new Promise((resolve, reject) => {
			createCloseAwareConnector(1000)({hostname: '127.0.0.1', port: String(port), protocol: 'http:'}, (err, socket) => {
				if (!socket) {
					reject(err);
					return;
				}

				const report = async () => {
					const event = currentCloseEvent();
					// As undici does once it has reported the response.
					socket.destroy();
					resolve(event.kind === 'ended' && await event.reset === 'instead_of_end' ? 'reset' : event.kind);
				};

				socket.on('end', report);
				socket.on('error', report);
				socket.resume();
				socket.write('a request');
			});
		});
	}

	// Guards against MIXED of review/2, and against versions of Node.js in which a write of no bytes tells nothing.
	it('tells a reset that arrives with the last data from an end', async () => {
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		for (let round = 0; round < rounds; round++) {
			expect(['reset', 'failed']).toContain(await closeEventAfter(socket => socket.resetAndDestroy()));
			expect(await closeEventAfter(socket => socket.end())).toBe('ended');
		}
	});
});
