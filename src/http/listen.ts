import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {GuavamillError} from '../errors/index.js';

/** An IP address with a port; port 0 takes a free one. */
export interface ListenAddress {
	readonly host: string;
	readonly port: number;
}

/** Starts listening; resolves with the port in use. Throws when the address cannot be bound. */
export async function listen(server: Server, address: ListenAddress): Promise<number> {
	return new Promise((resolve, reject) => {
		server.once('error', err => {
			reject(new GuavamillError(`Cannot listen on ${address.host}:${address.port}: ${err.message}`, {cause: err}));
		});
		server.listen(address.port, address.host, () => {
			resolve((server.address() as AddressInfo).port);
		});
	});
}

/** Stops a server at once, connections included. */
export async function closeServer(server: Server): Promise<void> {
	return new Promise(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}
