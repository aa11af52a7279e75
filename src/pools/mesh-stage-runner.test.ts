import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import type {RelayMesh} from '../links/index.js';
import {silentLoggerFactory} from '../logs/index.js';
import {MeshStageRunner} from './mesh-stage-runner.js';
import type {PoolHost} from './pool-host.js';
import type {StagePlan, StagePlanOutcome} from './stage-plan.js';

const plan: StagePlan = {
	attemptId: 'r1', stages: [], pieceKey: 'k', zone: 'riga-a', priority: 0, callByMs: 1000, deadlineMs: 4000,
};

type Sent = {type: string; id: number};

/** A link whose peer answers every plan as told, or nothing at all. */
function fakeLink(name: string, answer: (sent: Sent) => void) {
	return {
		peer: {name},
		isUp: true,
		send(message: Sent) {
			if (message.type === 'stage-plan') {
				answer(message);
			}

			return true;
		},
	};
}

function create(outcomes: StagePlanOutcome[]) {
	const clock = ManualClock.create();
	const hostEvents: string[] = [];
	let leader: unknown;
	const host = {
		async run() {
			hostEvents.push('run');
			return outcomes.shift() ?? {results: []};
		},
		takeOver() {
			hostEvents.push('takeOver');
		},
		leave() {
			hostEvents.push('leave');
		},
		free() {
			hostEvents.push('free');
		},
	};
	const mesh = {isSettled: true, leader: () => leader};
	const stages = MeshStageRunner.create({
		clock, logger: silentLoggerFactory('pools'), host: host as unknown as PoolHost, mesh: () => mesh as unknown as RelayMesh,
	});
	return {
		clock, stages, hostEvents, lead(link: unknown) {
			leader = link;
		},
	};
}

describe('LinkedStages', () => {
	it('asks the next host when the one before leaves a plan untouched', async () => {
		const {stages, lead, hostEvents} = create([]);
		const second = fakeLink('second', sent => {
			stages.receive(second as never, {type: 'stage-results', id: sent.id, results: []});
		});
		const first = fakeLink('first', sent => {
			lead(second);
			stages.receive(first as never, {
				type: 'stage-failure', id: sent.id, failure: 'host_left', retryAfterMs: 0,
			});
		});
		lead(first);
		await expect(stages.run(plan, new AbortController().signal)).resolves.toEqual({results: []});
		expect(hostEvents).toEqual([]);
	});

	it('asks the next host when this entry VM leaves its own plan untouched', async () => {
		const {stages, lead} = create([{failure: 'host_left', retryAfterMs: 0}]);
		const next = fakeLink('next', sent => {
			stages.receive(next as never, {type: 'stage-results', id: sent.id, results: []});
		});
		const run = stages.run(plan, new AbortController().signal);
		lead(next);
		await expect(run).resolves.toEqual({results: []});
	});

	it('tells its pools when it takes them over from another host', async () => {
		const {stages, lead, hostEvents, clock} = create([]);
		const other = fakeLink('other', sent => {
			stages.receive(other as never, {type: 'stage-results', id: sent.id, results: []});
		});
		const {signal} = new AbortController();
		await stages.run(plan, signal);
		lead(other);
		await clock.advance(5000);
		await stages.run(plan, signal);
		lead(undefined);
		await stages.run(plan, signal);
		await stages.run(plan, signal);
		expect(hostEvents).toEqual(['run', 'takeOver', 'run', 'run']);
	});

	it('leaves its plans only when there is another host', () => {
		const {stages, lead, hostEvents} = create([]);
		stages.handOver();
		expect(hostEvents).toEqual([]);
		lead(fakeLink('next', () => undefined));
		stages.handOver();
		expect(hostEvents).toEqual(['leave']);
	});
});
