import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import type {RelayMesh} from '../links/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {MeshStageRunner} from './mesh-stage-runner.js';
import type {PoolHost} from './pool-host.js';
import type {StagePlan, StagePlanOutcome} from './stage-plan.js';

const plan: StagePlan = {
	attemptId: 'r1', stages: [], pieceKey: 'k', zone: 'riga-a', priority: 0, callByMs: 1000, deadlineMs: 4000,
};

type Sent = {type: string; id: number};

/** Creates a link whose peer handles each plan with `answer`. */
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
		handOver() {
			hostEvents.push('handOver');
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

describe('MeshStageRunner', () => {
	it('tries the next host when the previous one hands over an unstarted plan', async () => {
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

	it('tries the next host when this entry VM hands over its own unstarted plan', async () => {
		const {stages, lead} = create([{failure: 'host_left', retryAfterMs: 0}]);
		const next = fakeLink('next', sent => {
			stages.receive(next as never, {type: 'stage-results', id: sent.id, results: []});
		});
		const run = stages.run(plan, new AbortController().signal);
		lead(next);
		await expect(run).resolves.toEqual({results: []});
	});

	it('notifies the pool host when this entry VM takes over from another host', async () => {
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

	it('hands over its plans only when there is another host', () => {
		const {stages, lead, hostEvents} = create([]);
		stages.handOver();
		expect(hostEvents).toEqual([]);
		lead(fakeLink('next', () => undefined));
		stages.handOver();
		expect(hostEvents).toEqual(['handOver']);
	});
});
