import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Random} from '../../src/random/index.js';
import {get, post, until} from './fleet.js';
import type {ZoneFleet} from './zone-fleet.js';

/** Fault to inject, with its start relative to the beginning of the fault phase and its duration. */
export interface PlannedFault {
	readonly kind: FaultKind;
	readonly startMs: number;
	readonly durationMs: number;
	/** Name of the affected process or zone; faults of the same subject do not overlap. */
	readonly subject: string;
}

const kinds = [
	'kill vm', 'pause vm', 'log outage', 'lost appends', 'late appends', 'half-open target', 'slow target', 'draining target', 'dropped answers', 'kill engine', 'cut zone', 'silence zone', 'silent links',
] as const;

/** Kinds of faults that can be injected. */
export type FaultKind = typeof kinds[number];

/** Mean time between the starts of two faults. */
const meanIntervalMs = 900;
/** Time after which a draining target must not receive new work. */
const drainLimitMs = 3000;

/** Plans a reproducible sequence of faults in which all kinds occur equally often, in random order. */
export function planFaults(fleet: ZoneFleet, random: Random, totalMs: number): PlannedFault[] {
	const plan: PlannedFault[] = [];
	const busyUntil = new Map<string, number>();
	let remainingKinds: FaultKind[] = [];
	for (let startMs = 500; startMs < totalMs; startMs += random.integer(meanIntervalMs / 2, meanIntervalMs * 3 / 2)) {
		remainingKinds = remainingKinds.length === 0 ? [...kinds] : remainingKinds;
		const [kind] = remainingKinds.splice(random.integer(0, remainingKinds.length - 1), 1) as [FaultKind];
		const subjects = subjectsOf(fleet, kind).filter(subject => (busyUntil.get(subject) ?? 0) <= startMs);
		const subject = subjects[random.integer(0, Math.max(0, subjects.length - 1))];
		if (subject !== undefined) {
			const durationMs = kind === 'draining target' ? drainLimitMs + 2000 : random.integer(500, 4000);
			// Leaves time for recovery before the next fault of the same subject.
			busyUntil.set(subject, startMs + durationMs + 1500);
			plan.push({
				kind, startMs, durationMs, subject,
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

/** Effects of the injected faults that the assertions depend on. */
export interface FaultEffects {
	/** Incarnations of entry VMs that were killed. */
	readonly killed: Set<string>;
	/** Runs that a draining target received after `drainLimitMs`. */
	readonly lateRuns: string[];
}

/** Injects a fault, waits for its duration and removes it. */
export async function runFault(fleet: ZoneFleet, fault: PlannedFault, effects: FaultEffects): Promise<void> {
	const {subject, durationMs} = fault;
	const target = fleet.fleet.targets.get(subject);
	const faults = async (origin: string, body: Record<string, unknown>) => {
		await post(`${origin}/faults`, body);
		await sleep(durationMs);
		await post(`${origin}/faults`, {});
	};

	switch (fault.kind) {
		case 'kill vm': {
			const vm = fleet.vms.get(subject)!;
			effects.killed.add(vm.firstMessage.incarnation as string);
			await vm.kill();
			await sleep(durationMs);
			await fleet.startVm(subject);
			return;
		}

		case 'pause vm': {
			const vm = fleet.vms.get(subject)!;
			vm.pause();
			await sleep(durationMs);
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
			return drainEngine(fleet, fault, effects);
		}

		case 'kill engine': {
			await target!.kill();
			await sleep(durationMs);
			await restartEngine(fleet, subject);
			return;
		}

		case 'cut zone':
		case 'silence zone': {
			const zone = subject.slice('zone '.length);
			fleet.isolate(zone, fault.kind === 'cut zone' ? 'cut' : 'silence');
			await sleep(durationMs);
			fleet.isolate(zone, 'forward');
			return;
		}

		case 'silent links': {
			fleet.silenceLinks(subject.slice('zone '.length));
		}
	}
}

/** Marks an engine as leaving in the VM list, records the runs that start after `drainLimitMs`, and restarts the engine. */
async function drainEngine(fleet: ZoneFleet, {subject, durationMs}: PlannedFault, effects: FaultEffects): Promise<void> {
	const engine = fleet.fleet.targets.get(subject)!;
	const runs = async () => (await get(`${engine.origin}/runs`)).runs as Array<{request_id: string}>;
	// The VM list must have the declared address, which is that of the proxy.
	const entry = {
		id: subject, zone: 'targets', role: 'target', address: fleet.targetAddresses.get(subject), start_id: engine.firstMessage.startId,
	};
	await post(`${fleet.fleet.platform.origin}/vms`, {...entry, state: 'leaving'});
	await sleep(drainLimitMs);
	const before = await runs();
	await sleep(durationMs - drainLimitMs);
	effects.lateRuns.push(...(await runs()).slice(before.length).map(run => `${subject} ${run.request_id}`));
	await engine.kill();
	await post(`${fleet.fleet.platform.origin}/vms/remove`, {id: subject});
	await restartEngine(fleet, subject);
}

async function restartEngine(fleet: ZoneFleet, name: string): Promise<void> {
	await fleet.fleet.startTarget(name, 'engine', ['--slots', '32', '--decode-ms-per-token', '5', '--listen', new URL(fleet.fleet.targets.get(name)!.origin).host]);
}

/** Change that an operator applied. */
export interface OperatorChange {
	/** Key of the declared team. */
	readonly key: string;
	/** Result of Apply, or `broken` if the call failed. */
	readonly result: string;
}

/** Applies changes at random entry VMs until the signal aborts; each change declares a different team. */
export async function applyRandomChanges(fleet: ZoneFleet, options: {name: string; random: Random; signal: AbortSignal; rpc: (vm: string, method: string, body: unknown) => Promise<any>}): Promise<OperatorChange[]> {
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
			// The entry VM is down; it is unknown whether the change took effect.
		}

		changes.push({key: `team/${team}`, result});
		await sleep(random.integer(100, 400));
	}

	return changes;
}

/** Waits until every entry VM follows the log again. */
export async function waitForRecovery(fleet: ZoneFleet, rpc: (vm: string, method: string, body: unknown) => Promise<any>): Promise<void> {
	for (const name of fleet.vms.keys()) {
		await until(async () => {
			try {
				return (await rpc(name, 'Status', {})).configState === 'following';
			} catch {
				return false;
			}
		}, `${name} to follow the log`, 60_000);
	}
}
