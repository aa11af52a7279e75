import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {ServicePace} from '../admission/index.js';
import {ManualClock} from '../clock/index.js';
import {TargetHolds} from '../limits/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {Placement} from '../placement/index.js';
import {PromptLoads} from '../prompts/index.js';
import {Random} from '../random/index.js';
import {TargetRegistry} from '../registry/index.js';
import type {ServiceDeclaration} from '../routes/index.js';
import {PrefixCacheTracker} from './prefix-cache-tracker.js';
import type {ProbeResult} from './target-attempt.js';
import {startPrompt} from './start-prompt.js';
import {TargetPicker, type TargetPickerContext} from './target-picker.js';

const entry = {
	service: 'desk', zone: 'riga-a', slots: 4, isDraining: false, startedMs: 1,
};

const services = new Map<string, ServiceDeclaration>([['llm', {
	name: 'llm', maxConnections: 100, stagePool: undefined, engineSlots: 64, engineMemoryTokens: 10_000,
}]]);
const prompt = {inputTokens: 4000, maxOutputTokens: 100, parts: [{id: 'own', tokens: 4000}]};

describe('TargetPicker', () => {
	const clock = ManualClock.create({now: 1000});
	const logger = silentLoggerFactory('requests');
	let registry: TargetRegistry;
	let picker: TargetPicker;
	let context: TargetPickerContext & {readonly prompts: PromptLoads; readonly holds: TargetHolds};
	let probes: string[] = [];
	/** Targets without a place within their limits, and what probes of the others find. */
	const full = new Set<string>();
	const results = new Map<string, ProbeResult>();
	/** Cold targets, and those of them for which there is no permit. */
	const cold = new Set<string>();
	const denied = new Set<string>();
	let permits: string[] = [];
	/** Brittle targets, and what becomes of their slots. */
	const brittle = new Set<string>();
	let slots: string[] = [];

	beforeEach(() => {
		probes = [];
		full.clear();
		results.clear();
		cold.clear();
		denied.clear();
		permits = [];
		brittle.clear();
		slots = [];
		registry = TargetRegistry.create({clock, logger});
		for (const id of ['t-1', 't-2', 't-3']) {
			registry.put({...entry, id, address: `127.0.0.1:${id.slice(2)}`});
		}

		context = createContext();
		picker = createPicker();
	});

	// Guards against slots of brittle targets that are lost: a target without a free one gets no requests.
	it('takes one slot for each attempt at a brittle target and gives each back once', async () => {
		for (const id of ['t-1', 't-2', 't-3']) {
			brittle.add(id);
		}

		full.add('t-1');
		await picker.reserve(registry.get('t-1')!, 0);
		results.set('t-2', 'silent');
		registry.get('t-1')!.limitedUntilMs = 2000;
		const target = await picker.reservePlace({isProbed: true});
		expect(target?.id).toBe('t-3');
		picker.endAttempt(target!, true);
		picker.endAttempt(target!, false);
		await picker.reserve(registry.get('t-2')!, 0);
		picker.close();
		await picker.reserve(registry.get('t-3')!, 0);
		const ends = (id: string) => slots.filter(event => event.startsWith(id));
		expect(ends('t-1')).toEqual(['t-1 taken', 't-1 released']);
		expect(ends('t-3')).toEqual(['t-3 taken', 't-3 rejected', 't-3 taken', 't-3 released']);
		expect(ends('t-2').filter(event => event === 't-2 taken')).toHaveLength(ends('t-2').filter(event => event === 't-2 released').length);
	});

	// Guards against an attempt whose slot is released with an earlier reservation of its target that was aborted late, and against a second slot that is lost.
	it('keeps the slot of a target until the last reservation has ended', async () => {
		brittle.add('t-1');
		const target = registry.get('t-1')!;
		await Promise.all([picker.reserve(target, 0), picker.reserve(target, 0)]);
		expect(slots).toEqual(['t-1 taken', 't-1 taken', 't-1 released']);
		await picker.reserve(target, 0);
		full.add('t-1');
		await picker.reserve(target, 0);
		picker.endAttempt(target, false);
		picker.endAttempt(target, false);
		expect(slots).toHaveLength(3);
		picker.endAttempt(target, true);
		expect(slots.at(-1)).toBe('t-1 rejected');
	});

	// Guards against requests that are sent, or that wait, while every target has asked for none.
	it('leaves out targets that are held back, and tells the shortest time left once all are', async () => {
		for (const [id, retryAfterMs] of [['t-1', 4000], ['t-2', 2000]] as const) {
			context.holds.observe(registry.get(id)!, retryAfterMs);
		}

		expect([(await picker.reservePlace({isProbed: true}))?.id, picker.isHeldBack, picker.isAllowed(registry.get('t-2')!)]).toEqual(['t-3', false, false]);
		context.holds.observe(registry.get('t-3')!, 3000);
		expect([await picker.reservePlace(), picker.firstFree(), picker.isHeldBack]).toEqual([undefined, undefined, true]);
		const {retryAfterMs, ...rejection} = picker.rejectionWithoutTarget(false);
		expect(rejection).toEqual({status: 503, reason: 'target_held_back'});
		expect(retryAfterMs).toBeGreaterThanOrEqual(2000);
		expect(retryAfterMs).toBeLessThan(2000 * 1.2 * 1.2);
	});

	function createContext(): TargetPickerContext & {readonly prompts: PromptLoads; readonly holds: TargetHolds} {
		return {
			clock,
			logger,
			placement: Placement.create({
				clock, logger, targets: registry, zone: 'riga-a', regionOf: zone => zone.split('-', 1)[0],
			}),
			random: Random.create(1),
			prefixCache: PrefixCacheTracker.create(),
			distance: () => 'same_zone',
			rank: (_key, names) => names,
			prompts: PromptLoads.create({
				clock, service: name => services.get(name), rank: (_key, names) => names, groupOf: zone => zone,
			}),
			limits: {
				async reserve(target) {
					target.limitedUntilMs = full.has(target.id) ? 2000 : 0;
					target.limit = {perSecond: 1, seenMs: 0};
					return full.has(target.id) ? {retryAfterMs: 1000} : {waitMs: 0};
				},
			},
			brittle: {
				isBrittle: target => brittle.has(target.id),
				isDenied: () => false,
				async reserve(target) {
					slots.push(`${target.id} taken`);
					return {
						release(isRejected) {
							slots.push(`${target.id} ${isRejected ? 'rejected' : 'released'}`);
						},
					};
				},
			},
			servicePace: ServicePace.create(),
			holds: TargetHolds.create({clock, logger, random: Random.create(1)}),
			coldTargets: {
				isCold: target => cold.has(target.id),
				isDenied: target => denied.has(target.id),
				deniedUntilMs: target => denied.has(target.id) ? 1500 : 0,
				async reserve(target) {
					permits.push(target.id);
					return denied.has(target.id) ? {retryAfterMs: 500} : {waitMs: 0, sendByMs: 1300};
				},
			},
			async probe(target) {
				probes.push(target.id);
				return results.get(target.id) ?? 'alive';
			},
		};
	}

	function createPicker(regions?: readonly string[]): TargetPicker {
		return TargetPicker.create(context, {
			attemptId: 'a', service: 'desk', regions, prompt: undefined, bodyBytes: 0, stageResults: () => [],
		});
	}

	it('picks each target once', () => {
		const ids = new Set<string>();
		for (let target = picker.choose(); target; target = picker.choose()) {
			ids.add(target.id);
			picker.addTried(target);
		}

		expect([ids.size, picker.hasTried, picker.firstFree()]).toEqual([3, true, undefined]);
	});

	// Guards against attempts that are given up for another one although no target is left.
	it('tells whether a target is left without choosing one', () => {
		registry.get('t-1')!.recordCall('unreachable', clock.now(), 0);
		cold.add('t-2');
		for (const id of ['t-2', 't-3', 't-1']) {
			for (const options of [{}, {isReachable: true}]) {
				expect(picker.hasChoice(options)).toBe(picker.choose(options) !== undefined);
			}

			picker.addTried(registry.get(id)!);
		}

		expect([picker.hasChoice(), picker.hasChoice({isReachable: true})]).toEqual([false, false]);
	});

	it('passes over targets without a place, and tells which one has the next', async () => {
		full.add('t-1').add('t-2');
		expect((await picker.reservePlace())?.id).toBe('t-3');
		full.add('t-3');
		expect(await picker.reservePlace()).toBeUndefined();
		expect(picker.firstFree()?.limitedUntilMs).toBe(2000);
	});

	// Guards against work that is given up for a target that cannot be reached.
	it.each<ProbeResult>(['silent', 'gone'])('reserves no probed target whose probe is %s, and avoids it', async result => {
		results.set('t-1', result).set('t-2', result);
		expect((await picker.reservePlace({isProbed: true}))?.id).toBe('t-3');
		results.set('t-3', result);
		expect(await picker.reservePlace({isProbed: true})).toBeUndefined();
		expect([probes.toSorted().at(-1), picker.choose({isReachable: true}), picker.choose()?.id]).toEqual(['t-3', undefined, expect.any(String)]);
	});

	// Guards against a request that reaches a target outside its regions because the others have been tried or are full.
	it('picks only targets of allowed regions, and tells when none of them is left', async () => {
		registry.put({
			...entry, id: 't-4', address: '127.0.0.1:4', zone: 'latgale-a',
		});
		picker = createPicker(['latgale']);
		expect([picker.choose()?.id, (await picker.reservePlace())?.id, picker.firstFree()?.id, picker.lacksAllowed]).toEqual(['t-4', 't-4', 't-4', false]);
		picker.addTried(registry.get('t-4')!);
		expect([picker.choose(), await picker.reservePlace(), picker.firstFree(), picker.rejectionWithoutTarget(false)]).toEqual([undefined, undefined, undefined, {status: 503, reason: 'no_allowed_target', retryAfterMs: 1000}]);
		expect(picker.rejectionWithoutTarget(true).status).toBe(502);
	});

	// Guards against a reason that blames regions for a service whose targets are all draining.
	it('tells that no target is left if none would take the request in any region', () => {
		for (const id of ['t-1', 't-2', 't-3']) {
			registry.markDraining(id);
		}

		expect(createPicker(['latgale']).rejectionWithoutTarget(false)).toMatchObject({reason: 'no_target'});
	});

	it('prefers warm targets, and takes a permit for a cold one if no other is left', async () => {
		cold.add('t-1').add('t-2');
		const warm = await picker.reservePlace();
		expect([warm?.id, picker.sendByMs(warm!), permits]).toEqual(['t-3', undefined, []]);
		picker.addTried(warm!);
		denied.add('t-1');
		const target = await picker.reservePlace();
		expect([target?.id, picker.sendByMs(target!), permits]).toEqual(['t-2', 1300, ['t-2']]);
		denied.add('t-2');
		picker.addTried(target!);
		expect([await picker.reservePlace(), picker.firstFree()?.id]).toEqual([undefined, 't-1']);
	});

	// Guards against a request that was allowed for a warm target, or with a permit that is void by now, and reaches it while it is cold.
	it('does not send to a target that has become cold, or with a void permit', async () => {
		const target = (await picker.reservePlace())!;
		expect(picker.mayBeSentTo(target)).toBe(true);
		cold.add('t-1').add('t-2').add('t-3');
		expect(picker.mayBeSentTo(target)).toBe(false);
		await picker.reserve(target, 0);
		expect(picker.mayBeSentTo(target)).toBe(true);
		await clock.advance(300);
		expect(picker.mayBeSentTo(target)).toBe(false);
	});

	it('reserves no target that starts to drain while it is probed', async () => {
		const reserving = picker.reservePlace({isProbed: true});
		for (const id of ['t-1', 't-2', 't-3']) {
			registry.markDraining(id);
		}

		expect(await reserving).toBeUndefined();
	});

	describe('of model engines', () => {
		beforeEach(() => {
			for (const id of ['e-1', 'e-2', 'e-3']) {
				registry.put({
					...entry, id, service: 'llm', address: `127.0.0.1:${id.slice(2)}`,
				});
			}

			picker = TargetPicker.create(context, {
				attemptId: 'a', service: 'llm', prompt, bodyBytes: 0, stageResults: () => [],
			});
		});

		const start = (id: string) => {
			const target = registry.get(id)!;
			return startPrompt(context, {
				target, prompt, choice: picker.choiceOf(target), isStream: true,
			});
		};

		// Guards against requests that exceed the memory of an engine, which crashes it.
		it('passes over engines without room for the prompt, and waits until one has room', async () => {
			const tickets = ['e-1', 'e-1', 'e-2', 'e-2', 'e-3'].map(id => start(id));
			expect([picker.choose()?.id, picker.lacksRoom]).toEqual(['e-3', false]);
			tickets.push(start('e-3'));
			expect([picker.choose(), picker.firstFree(), picker.lacksRoom]).toEqual([undefined, undefined, true]);
			expect(await picker.reservePlace()).toBeUndefined();
			let isWaiting = true;
			const waiting = (async () => {
				await picker.waitForRoom(clock.now() + 400, new AbortController().signal);
				isWaiting = false;
			})();
			await clock.advance(100);
			expect(isWaiting).toBe(true);
			tickets[3]!.end();
			await clock.advance(50);
			await waiting;
			expect([isWaiting, picker.choose()?.id]).toEqual([false, 'e-2']);
		});

		// Guards against callers that wait for what cannot come.
		it('does not wait for room for a prompt that exceeds the memory of an engine', async () => {
			picker = TargetPicker.create(context, {
				attemptId: 'a', service: 'llm', prompt: {...prompt, inputTokens: 9950}, bodyBytes: 0, stageResults: () => [],
			});
			const startMs = clock.now();
			await picker.waitForRoom(startMs + 400, new AbortController().signal);
			expect([picker.lacksRoom, clock.now()]).toEqual([true, startMs]);
		});

		it('tells why an engine was chosen, and how old its inputs were', () => {
			start('e-1');
			const target = picker.choose()!;
			expect(target.id).not.toBe('e-1');
			const {logFields} = start(target.id);
			expect(logFields).toEqual({
				uncached_tokens: 4000, first_token_ms: 80, ahead_tokens: 0, slowness: 1, reports_age_ms: 0,
			});
		});
	});
});
