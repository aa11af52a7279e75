import {beforeEach, expect, test} from 'vitest';
import {DeclarationSet} from '../config/index.js';
import type {Chunk, GenerateCall, TargetFailure} from '../targets/index.js';
import {createDeployment} from './deployment.js';
import {SimulatedFleet} from './simulated-fleet.js';
import {createSimulatedPorts} from './simulated-ports.js';
import {makeTrace} from './make-trace.js';
import {traceFaultSchema, type TraceFault} from './trace.js';
import {VirtualClock} from './virtual-clock.js';

const declarations = DeclarationSet.create(createDeployment('die-works').declarations);
const target = declarations.target('engraving-1')!;
let clock: VirtualClock;
let ended: Array<{id: string; at: number; failure?: TargetFailure}>;

beforeEach(() => {
	clock = VirtualClock.create();
	ended = [];
});

function createFleet(faults: Array<Partial<TraceFault>> = []): SimulatedFleet {
	const trace = makeTrace({name: 'alone', deployment: 'die-works', seed: 1});
	return SimulatedFleet.create({
		clock,
		declarations,
		trace: {
			...trace, faults: faults.map(fault => traceFaultSchema.parse({
				type: 'fault', scope: 'target', name: target.name, ...fault,
			})),
		},
	});
}

function send(fleet: SimulatedFleet, id: string, options: {zone?: string; prompt?: string; shareClass?: 'within' | 'above'; signal?: AbortSignal} = {}): void {
	const engine = createSimulatedPorts(fleet, options.zone ?? target.zone).engine(target, () => undefined);
	const call: GenerateCall = {
		requestId: id, stage: 'engrave', attempt: 1, team: 'press', shareClass: options.shareClass ?? 'within', prompt: [{id: 'p', text: (options.prompt ?? id).repeat(400)}], maxTokens: 40, fromIndex: 0, generatedText: '', remainingMs: 9000,
	};
	const read = async () => {
		const chunks: Chunk[] = [];
		try {
			for await (const batch of engine.generate(call, options.signal ?? new AbortController().signal)) {
				chunks.push(...batch);
			}

			expect(chunks.map(chunk => chunk.index)).toEqual(Array.from({length: 40}, (_, index) => index));
			ended.push({id, at: clock.now()});
		} catch (err) {
			ended.push({id, at: clock.now(), failure: (err as {failure: TargetFailure}).failure});
		}
	};

	void read();
}

// Guards against slots that are not shared between entry VMs and against an engine that ignores share classes.
test('calls wait for a slot, and calls within their share start first', async () => {
	const fleet = createFleet();
	for (let index = 0; index < target.slots; index++) {
		send(fleet, `first-${index}`);
	}

	await clock.advance(1);
	send(fleet, 'above', {shareClass: 'above', zone: 'liepaja-a'});
	for (let index = 0; index < target.slots; index++) {
		send(fleet, `within-${index}`, {zone: 'liepaja-a'});
	}

	await clock.advance(5000);
	expect(ended).toHaveLength((2 * target.slots) + 1);
	expect(ended.at(-1)!.id).toBe('above');
});

// Guards against simulations in which prefix caches or network latency have no effect.
test('a cached prompt saves its prefill time, and another region adds twice the one-way latency', async () => {
	const fleet = createFleet();
	for (const [id, zone] of [['cold', target.zone], ['warm', target.zone], ['far', 'liepaja-a']] as const) {
		const sentAt = clock.now();
		send(fleet, id, {prompt: 'same', zone});
		await clock.advance(3000);
		ended.at(-1)!.at -= sentAt;
	}

	const [cold, warm, far] = ended.map(entry => entry.at) as [number, number, number];
	expect(cold - warm).toBeCloseTo(400 * 0.15, 5);
	expect(far - warm).toBeCloseTo(2 * (20 - 0.2), 5);
	expect(fleet.executions.stageTotals('engrave').crossRegionBytes).toBeGreaterThan(0);
});

// Guards against faults that produce the wrong failure type, on which retries and `not_run` depend.
test.each([
	{fault: 'dead', failures: ['lost', 'not_sent']},
	{fault: 'draining', failures: [undefined, 'refused']},
	{fault: 'half_open', failures: ['lost', undefined]},
	{fault: 'stuck', failures: ['lost', 'lost']},
	{fault: 'fail', failures: [undefined, 'failed']},
	{
		fault: 'zone_cut', scope: 'zone', name: 'liepaja-a', zone: 'liepaja-a', failures: ['lost', 'lost'],
	},
] as const)('a call open at the start of $fault and a later call end with the expected failures', async ({failures, fault, ...rest}) => {
	const {zone, ...scope} = {zone: target.zone, ...rest};
	const fleet = createFleet([{
		at_ms: 200, until_ms: 60_000, fault, ...scope,
	}]);
	const abort = new AbortController();
	send(fleet, 'open', {signal: abort.signal, zone});
	await clock.advance(300);
	send(fleet, 'later', {signal: abort.signal, zone});
	await clock.advance(5000);
	abort.abort();
	await clock.advance(100);
	expect(['open', 'later'].map(id => ended.find(entry => entry.id === id)?.failure)).toEqual(failures);
});
