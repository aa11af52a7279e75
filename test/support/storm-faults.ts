import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../../src/random/index.js';
import {get, post, until} from './fleet.js';
import type {ZoneFleet} from './zone-fleet.js';

/** A planned fault: it begins at a time of the storm and lasts for a while. */
export interface PlannedFault {
	readonly kind: FaultKind;
	readonly atMs: number;
	readonly lastsMs: number;
	/** Subject; two faults of one subject do not overlap. */
	readonly subject: string;
}

const kinds = [
	'kill vm', 'pause vm', 'log outage', 'lost appends', 'late appends', 'half-open target', 'slow target', 'draining target', 'dropped answers', 'kill engine', 'cut zone', 'silence zone', 'silent links',
] as const;

/** Kinds of fault of a storm. */
export type FaultKind = typeof kinds[number];

/** Mean time between the beginnings of two faults. */
const gapMs = 900;
/** Time after which a draining target gets no new work. */
const drainBoundMs = 3000;

/** Plans faults from a seed: each kind comes as often as the others, in random order. */
export function planStorm(fleet: ZoneFleet, random: Random, totalMs: number): PlannedFault[] {
	const plan: PlannedFault[] = [];
	const busyUntil = new Map<string, number>();
	let bag: FaultKind[] = [];
	for (let atMs = 500; atMs < totalMs; atMs += random.integer(gapMs / 2, gapMs * 3 / 2)) {
		bag = bag.length === 0 ? [...kinds] : bag;
		const [kind] = bag.splice(random.integer(0, bag.length - 1), 1) as [FaultKind];
		const subjects = subjectsOf(fleet, kind).filter(subject => (busyUntil.get(subject) ?? 0) <= atMs);
		const subject = subjects[random.integer(0, Math.max(0, subjects.length - 1))];
		if (subject !== undefined) {
			const lastsMs = kind === 'draining target' ? drainBoundMs + 2000 : random.integer(500, 4000);
			// Recovery needs some time before the next fault of the same subject.
			busyUntil.set(subject, atMs + lastsMs + 1500);
			plan.push({
				kind, atMs, lastsMs, subject,
			});
		}
	}

	return plan;
}

function subjectsOf(fleet: ZoneFleet, kind: FaultKind): string[] {
	switch (kind) {
		case 'kill vm':
		case 'pause vm': {
			return [...fleet.vms.keys()];
		}

		case 'log outage':
		case 'lost appends':
		case 'late appends': {
			return ['log'];
		}

		case 'kill engine':
		case 'draining target': {
			return fleet.targets('engines-').map(([name]) => name);
		}

		case 'dropped answers': {
			return [...fleet.targets('strike-'), ...fleet.targets('commission-')].map(([name]) => name);
		}

		case 'half-open target':
		case 'slow target': {
			return [...fleet.fleet.targets.keys()];
		}

		default: {
			return fleet.zones.map(zone => `zone ${zone}`);
		}
	}
}

/** What a storm has done that its judges need. */
export interface StormRecord {
	/** Incarnations of entry VMs that were killed. */
	readonly killed: Set<string>;
	/** Runs that a draining target got later than it may. */
	readonly lateRuns: string[];
}

/** Puts one fault in force for its time and ends it. */
export async function runFault(fleet: ZoneFleet, fault: PlannedFault, record: StormRecord): Promise<void> {
	const {subject, lastsMs} = fault;
	const target = fleet.fleet.targets.get(subject);
	const faults = async (origin: string, body: Record<string, unknown>) => {
		await post(`${origin}/faults`, body);
		await sleep(lastsMs);
		await post(`${origin}/faults`, {});
	};

	switch (fault.kind) {
		case 'kill vm': {
			const vm = fleet.vms.get(subject)!;
			record.killed.add(vm.hello.incarnation as string);
			await vm.kill();
			await sleep(lastsMs);
			await fleet.startVm(subject);
			return;
		}

		case 'pause vm': {
			const vm = fleet.vms.get(subject)!;
			vm.pause();
			await sleep(lastsMs);
			vm.resume();
			return;
		}

		case 'log outage': {
			return faults(fleet.fleet.log.origin, {outage: true});
		}

		case 'lost appends': {
			return faults(fleet.fleet.log.origin, {lost_append_answers: 5});
		}

		case 'late appends': {
			return faults(fleet.fleet.log.origin, {late_appends: 5, late_append_ms: 1500});
		}

		case 'half-open target': {
			return faults(target!.origin, {half_open: true});
		}

		case 'slow target': {
			return faults(target!.origin, {slow_ms: 300});
		}

		case 'dropped answers': {
			return faults(target!.origin, {drop_answers: 8});
		}

		case 'draining target': {
			return drainEngine(fleet, fault, record);
		}

		case 'kill engine': {
			await target!.kill();
			await sleep(lastsMs);
			await restartEngine(fleet, subject);
			return;
		}

		case 'cut zone':
		case 'silence zone': {
			const zone = subject.slice('zone '.length);
			fleet.isolate(zone, fault.kind === 'cut zone' ? 'cut' : 'silence');
			await sleep(lastsMs);
			fleet.isolate(zone, 'forward');
			return;
		}

		case 'silent links': {
			fleet.silenceLinks(subject.slice('zone '.length));
		}
	}
}

/** Announces an engine as leaving, counts the runs that begin after the bound, and replaces it. */
async function drainEngine(fleet: ZoneFleet, {subject, lastsMs}: PlannedFault, record: StormRecord): Promise<void> {
	const engine = fleet.fleet.targets.get(subject)!;
	const runs = async () => (await get(`${engine.origin}/runs`)).runs as Array<{request_id: string}>;
	// The list names the address that the declarations name, which is that of the proxy.
	const entry = {
		id: subject, zone: 'targets', role: 'target', address: fleet.addresses.get(subject), start_id: engine.hello.startId,
	};
	await post(`${fleet.fleet.platform.origin}/vms`, {...entry, state: 'leaving'});
	await sleep(drainBoundMs);
	const before = await runs();
	await sleep(lastsMs - drainBoundMs);
	record.lateRuns.push(...(await runs()).slice(before.length).map(run => `${subject} ${run.request_id}`));
	await engine.kill();
	await post(`${fleet.fleet.platform.origin}/vms/remove`, {id: subject});
	await restartEngine(fleet, subject);
}

async function restartEngine(fleet: ZoneFleet, name: string): Promise<void> {
	await fleet.fleet.target(name, 'engine', ['--slots', '32', '--decode-ms-per-token', '5', '--listen', new URL(fleet.fleet.targets.get(name)!.origin).host]);
}

/** A change that an operator made. */
export interface OperatorChange {
	readonly key: string;
	readonly result: string;
}

/** Applies changes at random entry VMs until the storm ends; each change declares a team of its own. */
export async function operate(fleet: ZoneFleet, options: {name: string; random: Random; signal: AbortSignal; rpc: (vm: string, method: string, body: unknown) => Promise<any>}): Promise<OperatorChange[]> {
	const {name, random, signal, rpc} = options;
	const changes: OperatorChange[] = [];
	const vms = [...fleet.vms.keys()];
	for (let number = 0; number < 200 && !signal.aborted; number++) {
		const vm = vms[random.integer(0, vms.length - 1)]!;
		const team = `${name}-${number}`;
		let result = 'broken';
		try {
			const {revision} = await rpc(vm, 'Status', {});
			const reply = await rpc(vm, 'Apply', {
				baseRevision: revision, set: [{
					kind: 'team', name: team, weight: 1, deadline_ms: 5000,
				}], author: name, changeId: randomUUID(),
			});
			result = Object.keys(reply)[0]!;
		} catch {
			// The entry VM is down; whether the change took effect is not known.
		}

		changes.push({key: `team/${team}`, result});
		await sleep(random.integer(100, 400));
	}

	return changes;
}

/** Waits until the log takes appends again and every entry VM follows it. */
export async function untilCalm(fleet: ZoneFleet, rpc: (vm: string, method: string, body: unknown) => Promise<any>): Promise<void> {
	for (const name of fleet.vms.keys()) {
		await until(async () => {
			try {
				return (await rpc(name, 'Status', {})).configState === 'following';
			} catch {
				return false;
			}
		}, `${name} following the log`, 60_000);
	}
}
