import {setTimeout as sleep} from 'node:timers/promises';
import {expect, test} from 'vitest';
import type {Declaration} from '../src/config/index.js';
import {Fleet, get, until} from './support/fleet.js';

const leaseLogMessage = 'Holds the lease.';

function declarations(version: string, engines: Record<string, string>): Declaration[] {
	return [
		{kind: 'zone', name: 'a', region: 'R'},
		{
			kind: 'pool', name: 'engines', type: 'engine', prefill_ms_per_token: 0, decode_ms_per_token: 0, service_ms: 0, cost_per_second: 0, lookup: false,
		},
		...Object.entries(engines).map(([name, address]) => ({
			kind: 'target' as const, name, zone: 'a', pool: 'engines', address, slots: 2, checks_fencing: name === 'checking',
		})),
		{
			kind: 'model', name: 'm', pool: 'engines', version, adapters: ['a1'], weight_gb: 1,
		},
	];
}

// Guards against a lease holder that is paused, loses the lease and restores an old version after it resumes, at engines
// with and without fencing checks.
test('engines keep the declared version while lease holders are paused and resumed', async () => {
	const fleet = await Fleet.start();
	try {
		const checking = await fleet.startTarget('checking', 'engine', ['--checks-fencing']);
		const ignoring = await fleet.startTarget('ignoring', 'engine');
		const engines = {checking: checking.origin, ignoring: ignoring.origin};
		for (const name of ['vm-1', 'vm-2', 'vm-3']) {
			await fleet.startEntryVm(name, 'a', ['--log-level', 'info']);
		}

		await fleet.publish(declarations('1', engines));
		const versions = async () => Promise.all([checking, ignoring].map(async engine => (await get(`${engine.origin}/v1/state`)).version as string));
		const haveVersion = (version: string) => async () => (await versions()).every(present => present === version);
		await until(haveVersion('1'), 'version 1');
		const first = fleet.entryVms.find(vm => vm.stderr.includes(leaseLogMessage))!;
		first.pause();
		await fleet.publish(declarations('2', engines), {via: fleet.entryVms.find(vm => vm !== first)!});
		await until(haveVersion('2'), 'version 2 by another lease holder');
		first.resume();
		await sleep(3000);
		expect(await versions()).toEqual(['2', '2']);
		const {orders} = await get(`${checking.origin}/runs`) as {orders: Array<{fencing: number; result: string}>};
		const accepted = orders.filter(order => order.result === 'accepted').map(order => order.fencing);
		expect(accepted).toEqual([...accepted].sort((a, b) => a - b));
	} finally {
		await fleet.close();
	}
});
