import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

/**
 * A requester's channel: sends one request and reads the answer by HTTP/1.1 (RFC 9112, sections 6.3 and 8). Resolves
 * with what the channel showed: the head, the body as far as it arrived, how the answer is framed, and whether it ended
 * complete by its framing. An answer with neither a length nor chunks is complete when its channel ends in order; a reset
 * makes any answer incomplete.
 */
export async function send({host, port, method = 'POST', path, headers = {}, body = '', timeoutMs = 10_000}) {
	return new Promise(resolve => {
		const startedMs = Date.now();
		const chunks = [];
		const socket = connect({host, port, allowHalfOpen: true});
		let end;
		const finish = how => {
			if (end) {
				return;
			}

			end = how;
			clearTimeout(timer);
			socket.destroy();
			resolve({
				...readAnswer(Buffer.concat(chunks), how), end: how, startedMs, endedMs: Date.now(),
			});
		};

		const timer = setTimeout(() => {
			finish('timeout');
		}, timeoutMs);
		socket.on('connect', () => {
			const lines = [`${method} ${path} HTTP/1.1`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), ...(method === 'GET' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]), '', body];
			socket.write(lines.join('\r\n'));
		});
		socket.on('data', chunk => {
			chunks.push(chunk);
			const {isComplete, framing} = readAnswer(Buffer.concat(chunks), 'open');
			if (isComplete && framing !== 'connection') {
				finish('answered');
			}
		});
		socket.on('end', () => {
			// Node.js reports an end also where a reset has arrived together with the last data: a write of nothing tells.
			socket.write('', err => {
				finish(err && err.code !== 'EPIPE' ? 'reset' : 'ended');
			});
		});
		socket.on('error', err => {
			finish(err.code === 'ECONNRESET' ? 'reset' : `error ${err.code}`);
		});
		socket.on('close', () => {
			finish('closed');
		});
	});
}

/** Reads an answer from the bytes of a channel, whose end is `open`, `ended`, `reset` and so on. */
export function readAnswer(bytes, end) {
	const headEnd = bytes.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return {
			status: 0, headers: {}, framing: 'none', body: '', isComplete: false,
		};
	}

	const [statusLine, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n');
	const status = Number(statusLine.split(' ')[1]);
	const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	const rest = bytes.subarray(headEnd + 4);
	if ((headers['transfer-encoding'] ?? '').toLowerCase().includes('chunked')) {
		const {body, isComplete} = readChunks(rest);
		return {
			status, headers, framing: 'chunked', body: body.toString(), isComplete,
		};
	}

	if (headers['content-length'] !== undefined) {
		const length = Number(headers['content-length']);
		return {
			status, headers, framing: 'length', body: rest.subarray(0, length).toString(), isComplete: rest.length >= length,
		};
	}

	return {
		status, headers, framing: 'connection', body: rest.toString(), isComplete: end === 'ended',
	};
}

function readChunks(bytes) {
	const parts = [];
	for (let position = 0; ;) {
		const lineEnd = bytes.indexOf('\r\n', position);
		if (lineEnd === -1) {
			return {body: Buffer.concat(parts), isComplete: false};
		}

		const size = Number.parseInt(bytes.subarray(position, lineEnd).toString('latin1'), 16);
		const start = lineEnd + 2;
		if (size === 0) {
			return {body: Buffer.concat(parts), isComplete: bytes.length >= start + 2};
		}

		parts.push(bytes.subarray(start, Math.min(start + size, bytes.length)));
		if (bytes.length < start + size + 2) {
			return {body: Buffer.concat(parts), isComplete: false};
		}

		position = start + size + 2;
	}
}
