// Preloaded into entry VMs: binds outgoing connections to SOURCE_ADDRESS, so that proxies can tell the zones apart.
import net from 'node:net';
import process from 'node:process';

const {connect} = net.Socket.prototype;

net.Socket.prototype.connect = function (...args) {
	const options = Array.isArray(args[0]) ? args[0][0] : args[0];
	if (options?.port !== undefined) {
		options.localAddress ??= process.env.SOURCE_ADDRESS;
	}

	return connect.apply(this, args);
};
