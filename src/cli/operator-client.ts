import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import type {Ms} from '../clock/index.js';
import {OperatorService} from '../gen/guavamill/v1/operator_pb.js';
import {
	numberSchema, originSchema, switchSchema, type SettingTable,
} from '../settings/index.js';

/** Time for any call; an Apply waits up to 10 s for its result. */
const callTimeoutMs: Ms = 20_000;

/** Settings of every command that calls an entry VM. */
export const operatorSettings = {
	vm: {
		flag: 'vm', help: 'Origin of an entry VM\'s operators\' port.', fallback: 'http://127.0.0.1:7001', schema: originSchema,
	},
	timeoutMs: {
		flag: 'timeout-ms', help: 'Time for the call, in ms.', fallback: String(callTimeoutMs), schema: numberSchema(1, 600_000),
	},
	json: {
		flag: 'json', help: 'Prints JSON.', fallback: 'false', schema: switchSchema, isSwitch: true,
	},
} satisfies SettingTable;

/**
 * Creates a client of an entry VM's operators' service.
 *
 * @example
 * const status = await createOperatorClient({vm: 'http://127.0.0.1:7001', timeoutMs: 5000}).status({});
 */
export function createOperatorClient(options: {vm: string; timeoutMs: Ms}): Client<typeof OperatorService> {
	return createClient(OperatorService, createConnectTransport({
		baseUrl: options.vm, httpVersion: '1.1', useBinaryFormat: false, defaultTimeoutMs: options.timeoutMs,
	}));
}
