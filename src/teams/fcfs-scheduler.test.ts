import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {sampleDeclarations} from '../cli/sample.js';
import {StaticConfigView} from '../config/index.js';
import {EventRing} from '../events/index.js';
import {DeclaredTargets, httpPortFactory} from '../targets/index.js';
import {FcfsScheduler} from './fcfs-scheduler.js';

const setup = () => {
	const clock = ManualClock.create();
	const config = StaticConfigView.create(sampleDeclarations({
		encoder: 'http://127.0.0.1:1', retriever: 'http://127.0.0.1:2', reranker: 'http://127.0.0.1:3', engine: 'http://127.0.0.1:4',
	}));
	const targets = DeclaredTargets.create({
		config, clock, events: EventRing.create({process: 'vm', clock}), ports: httpPortFactory,
	});
	const pipeline = config.current().declarations.pipeline('advice')!;
	return {
		clock, targets, scheduler: FcfsScheduler.create({clock, targets}), work: {
			requestId: 'r', team: 'apprentices', pipeline, stage: pipeline.stages[0]!, attempt: 1, prompt: [], maxTokens: 1, deadlineMs: 60_000, failedTargets: [],
		},
	};
};

// Guards against an attempt whose caller has left and that stays queued until its deadline: an aborted signal fires no event.
test('an attempt whose signal is already aborted is not queued', async () => {
	const {targets, scheduler, work} = setup();
	targets.get('encoders-1')!.markSuspect('test');
	await expect(scheduler.acquire(work, AbortSignal.abort())).rejects.toThrow();
});

// Guards against an attempt that stays queued until its deadline although a suspect target has recovered.
test('a queued attempt is granted a target when one recovers', async () => {
	const {
		clock, targets, scheduler, work,
	} = setup();
	const target = targets.get('encoders-1')!;
	target.markSuspect('test');
	const grant = scheduler.acquire(work, new AbortController().signal);
	await clock.advance(1500);
	target.updateHealth({startId: 's1', draining: false});
	expect((await grant).target.name).toBe('encoders-1');
});
