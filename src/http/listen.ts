import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {GuavamillError} from '../errors/index.js';

/** IP address and port to listen on; port 0 selects a free port. */
export interface ListenAddress {
	readonly host: string;
	readonly port: number;
}

/**
 * Starts a server and returns the port that it listens on. Rejects with `GuavamillError` when the address cannot be bound;
 * the same server may then be started again.
 */
export async function listen(server: Server, address: ListenAddress): Promise<number> {
	return new Promise((resolve, reject) => {
		const onError = (err: Error) => {
			server.off('error', onError);
			server.off('listening', onListening);
			reject(new GuavamillError(`Cannot listen on ${address.host}:${address.port}: ${err.message}`, {cause: err}));
		};

		const onListening = () => {
			server.off('error', onError);
			resolve((server.address() as AddressInfo).port);
		};

		server.once('error', onError);
		server.once('listening', onListening);
		try {
			server.listen(address.port, address.host);
		} catch (err) {
			// A port out of range is thrown at once.
			onError(err as Error);
		}
	});
}

/** Stops a server and closes all its connections immediately. */
export async function closeServer(server: Server): Promise<void> {
	return new Promise(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}
