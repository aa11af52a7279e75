// A requester that tells an orderly end of its channel from a reset, which the events of Node.js do not always do.
import {connect} from 'node:net';

/** Sends a request on a channel of its own and resolves with what has arrived; `isReset` tells how the channel ended. */
export async function sendExactly({host, port, method, path, headers, body, timeoutMs}) {
	return new Promise(resolve => {
		const socket = connect({host, port, allowHalfOpen: true});
		let received = '';
		const end = isReset => {
			clearTimeout(timer);
			socket.destroy();
			resolve(parse(received, isReset));
		};

		const timer = setTimeout(() => {
			end(true);
		}, timeoutMs);
		socket.setEncoding('latin1');
		socket.on('connect', () => {
			const lines = Object.entries({...headers, 'content-length': String(body.length)}).map(([name, value]) => `${name}: ${value}\r\n`);
			socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`);
		});
		socket.on('data', chunk => {
			received += chunk;
			if (isWhole(received)) {
				end(false);
			}
		});
		socket.on('error', () => {
			end(true);
		});
		socket.on('end', () => {
			// After a reset the write fails at once; after an orderly end of the other side it goes out.
			socket.write('\r\n', err => {
				end(Boolean(err));
			});
		});
	});
}

/** Whether a body with a length has arrived. */
function isWhole(text) {
	const headEnd = text.indexOf('\r\n\r\n');
	const length = /\r\ncontent-length: (?<length>\d+)\r\n/i.exec(text.slice(0, headEnd + 2))?.groups.length;
	return headEnd !== -1 && length !== undefined && text.length >= headEnd + 4 + Number(length);
}

function parse(text, isReset) {
	const headEnd = text.indexOf('\r\n\r\n');
	const head = headEnd === -1 ? '' : text.slice(0, headEnd + 2);
	return {
		status: Number(/^HTTP\/1.1 (?<status>\d+)/.exec(head)?.groups.status ?? 0), head, body: headEnd === -1 ? '' : text.slice(headEnd + 4), isReset,
	};
}
