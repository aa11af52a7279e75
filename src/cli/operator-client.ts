import {
	Code, ConnectError, createClient, type Client,
} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {Ms} from '../clock/index.js';
import {GuavamillError} from '../errors/index.js';
import {OperatorService} from '../gen/guavamill/v1/operator_pb.js';
import {
	booleanSchema, numberSchema, originSchema, type SettingTable,
} from '../settings/index.js';

/** Default time limit of a call. Must exceed the 10 s that Apply may wait for its result. */
const callTimeoutMs: Ms = 20_000;

/** Settings of every command that calls an entry VM. */
export const operatorSettings = {
	vm: {
		flag: 'vm', help: 'Origin of the operator port of an entry VM.', fallback: 'http://127.0.0.1:7001', schema: originSchema,
	},
	timeoutMs: {
		flag: 'timeout-ms', help: 'Time limit for the call, in ms.', fallback: String(callTimeoutMs), schema: numberSchema(1, 600_000),
	},
	json: {
		flag: 'json', help: 'Prints JSON.', fallback: 'false', schema: booleanSchema, isBoolean: true,
	},
} satisfies SettingTable;

/**
 * Creates a client of the operator service of an entry VM. Its calls throw a `GuavamillError` on failure.
 *
 * @example
 * const status = await createOperatorClient({vm: 'http://127.0.0.1:7001', timeoutMs: 5000}).status({});
 */
export function createOperatorClient(options: {vm: string; timeoutMs: Ms}): Client<typeof OperatorService> {
	const client = createClient(OperatorService, createConnectTransport({
		baseUrl: options.vm, httpVersion: '1.1', useBinaryFormat: false, defaultTimeoutMs: options.timeoutMs,
	}));
	return Object.fromEntries(Object.entries(client).map(([name, call]) => [name, async (...args: unknown[]) => {
		try {
			return await (call as (...args: unknown[]) => Promise<unknown>)(...args);
		} catch (err) {
			throw toCallError(err, options);
		}
	}])) as unknown as Client<typeof OperatorService>;
}

/** Converts an error of a call. Adds the origin of the entry VM to transport errors; messages of the entry VM itself are kept. */
function toCallError(err: unknown, {vm, timeoutMs}: {vm: string; timeoutMs: Ms}): GuavamillError {
	const {code, rawMessage} = ConnectError.from(err);
	switch (code) {
		case Code.Unavailable: {
			return new GuavamillError(`Cannot reach the entry VM at ${vm}: ${rawMessage}`);
		}

		case Code.DeadlineExceeded: {
			return new GuavamillError(`Cannot call the entry VM at ${vm}: no response within ${timeoutMs} ms`);
		}

		case Code.Unimplemented: {
			return new GuavamillError(`Cannot call the entry VM at ${vm}: it does not serve the operator service of this version`);
		}

		default: {
			return new GuavamillError(rawMessage.startsWith('Cannot ') ? rawMessage : `Cannot call the entry VM at ${vm}: ${rawMessage}`);
		}
	}
}
