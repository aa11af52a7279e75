import {request} from 'undici';
import {z} from 'zod';
import type {Ms} from '../clock/index.js';
import {errorMessage, GuavamillError} from '../errors/index.js';
import type {VmList, VmSnapshot} from './vm-list.js';

const timeoutMs: Ms = 2000;
const replySchema = z.object({
	as_of_ms: z.number(),
	vms: z.array(z.object({
		id: z.string(), zone: z.string(), role: z.enum(['entry', 'target']), address: z.string(), start_id: z.string(), state: z.enum(['live', 'leaving']),
	})),
});

/**
 * The platform's VM list over HTTP. `list` throws `GuavamillError` if the platform does not respond.
 *
 * @example
 * const vms = HttpVmList.create('http://127.0.0.1:7101');
 */
export class HttpVmList implements VmList {
	static create(origin: string): HttpVmList {
		return new HttpVmList(origin);
	}

	private constructor(private readonly origin: string) {}

	async list(): Promise<VmSnapshot> {
		try {
			const res = await request(`${this.origin}/v1/vms`, {signal: AbortSignal.timeout(timeoutMs)});
			const body = replySchema.parse(await res.body.json());
			return {
				asOfMs: body.as_of_ms,
				vms: body.vms.map(vm => ({
					id: vm.id, zone: vm.zone, role: vm.role, address: vm.address, startId: vm.start_id, state: vm.state,
				})),
			};
		} catch (err) {
			throw new GuavamillError(`Cannot read the VM list: ${errorMessage(err)}`, {cause: err});
		}
	}
}
