import {expect, test} from 'vitest';
import {mintKey, type ClaimService} from '../claims/index.js';
import {ManualClock} from '../clock/index.js';
import {StaticConfigView} from '../config/index.js';
import {EventRing} from '../events/index.js';
import type {Scheduler} from '../teams/index.js';
import {nullRequestForwarder, type RequestForwarder} from './request-forwarder.js';
import {RequestRunner} from './request-runner.js';

// Guards against claiming or running a request on an entry VM that did not mint its key.
test.each([
	['another incarnation', 'other', undefined, {outcome: 'done', answer: 'forwarded'}],
	['an incarnation that is gone', 'other', nullRequestForwarder, {outcome: 'unknown', reason: 'minter_gone'}],
	['this incarnation', 'vm', undefined, {outcome: 'done', answer: 'claimed'}],
])('a request whose key was minted by %s runs nowhere else', async (_name, minter, otherForwarder, expected) => {
	const clock = ManualClock.create();
	const forwarder: RequestForwarder = otherForwarder ?? {
		async forward(_pipeline, _body, incarnation, deadlineMs) {
			expect([incarnation, deadlineMs]).toEqual(['other', 9000]);
			return {
				request_id: 'r', outcome: 'done', answer: 'forwarded', chunks: 0, stages: [],
			};
		},
	};
	const runner = RequestRunner.create({
		clock,
		config: StaticConfigView.create([
			{
				kind: 'team', name: 't', weight: 1, priority: 5, deadline_ms: 9000,
			},
			{
				kind: 'pipeline',
				name: 'p',
				deadline_ms: 9000,
				stages: [{
					name: 'book', kind: 'call', pool: 'ledger', idempotent: false,
				}],
			},
		]),
		scheduler: {admit: () => ({admitted: true, predictedMs: 0})} as unknown as Scheduler,
		claims: {acquire: async () => ({type: 'done', answer: '{"outcome":"done","answer":"claimed"}'})} as unknown as ClaimService,
		forwarding: {incarnation: 'vm', forwarder},
		events: EventRing.create({process: 'vm', clock}),
	});
	const result = await runner.run('p', {team: 't', input: {text: 'x'}, idempotency: {key: mintKey(minter, clock.wall() + 1000)}});
	expect(result).toMatchObject(expected);
});
