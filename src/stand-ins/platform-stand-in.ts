import {z} from 'zod';
import type {Clock, Ms} from '../clock/index.js';
import {sendJson, type ListenAddress} from '../http/index.js';
import {MemoryVmList} from '../vms/index.js';
import {StandInServer} from './stand-in-server.js';

const vmSchema = z.strictObject({
	id: z.string(), zone: z.string(), role: z.enum(['entry', 'target']), address: z.string(), start_id: z.string(), state: z.enum(['live', 'leaving']),
});

/**
 * Stand-in for the platform's VM list over HTTP, in which changes become visible after a lag. `POST /vms` adds or
 * replaces a VM, `POST /vms/remove` removes one, and `POST /faults` starts or ends an outage.
 *
 * @example
 * const platform = await PlatformStandIn.create({clock, listen: {host: '127.0.0.1', port: 0}, lagMs: 5000});
 */
export class PlatformStandIn {
	static async create(options: {clock: Clock; listen: ListenAddress; lagMs?: Ms}): Promise<PlatformStandIn> {
		const vms = MemoryVmList.create(options);
		let outage = false;
		const server = await StandInServer.create({
			listen: options.listen,
			routes: [
				['GET', /^\/v1\/vms$/, async ({res}) => {
					if (outage) {
						sendJson(res, 503, {message: 'Cannot list the VMs: outage'});
						return undefined;
					}

					const snapshot = await vms.list();
					return {
						as_of_ms: snapshot.asOfMs,
						vms: snapshot.vms.map(vm => ({
							id: vm.id, zone: vm.zone, role: vm.role, address: vm.address, start_id: vm.startId, state: vm.state,
						})),
					};
				}],
				['POST', /^\/vms$/, ({body}) => {
					const vm = vmSchema.parse(body);
					vms.put({
						id: vm.id, zone: vm.zone, role: vm.role, address: vm.address, startId: vm.start_id, state: vm.state,
					});
					return {};
				}],
				['POST', /^\/vms\/remove$/, ({body}) => {
					vms.remove(z.strictObject({id: z.string()}).parse(body).id);
					return {};
				}],
				['POST', /^\/faults$/, ({body}) => {
					outage = z.strictObject({outage: z.boolean()}).parse(body).outage;
					return {};
				}],
			],
		});
		return new PlatformStandIn(vms, server);
	}

	private constructor(readonly vms: MemoryVmList, private readonly server: StandInServer) {}

	get origin(): string {
		return this.server.origin;
	}

	async close(): Promise<void> {
		await this.server.close();
	}
}
