import type {Ms} from '../clock/index.js';
import {DeclarationSet, StaticConfigView} from '../config/index.js';
import type {EventInput} from '../events/index.js';
import {Random} from '../random/index.js';
import {isRejection} from '../requests/index.js';
import {createDeployment} from './deployment.js';
import {expectedText} from './expected-text.js';
import {FakeFleet} from './simulated-fleet.js';
import {GapMeter} from './token-latency-recorder.js';
import {MemoryClaims} from './memory-claims.js';
import {createReport, type ReplayReport} from './report.js';
import type {ReplayPolicy} from './replay-policy.js';
import {ReplayVm} from './replay-vm.js';
import {requestBody} from './request-body.js';
import type {RequestRecord} from './request-record.js';
import {StageRecorder} from './stage-recorder.js';
import type {Trace, TraceRequest} from './trace.js';
import {VirtualClock} from './virtual-clock.js';

/** How to replay a trace. */
export interface ReplayOptions {
	readonly policy: ReplayPolicy;
	/** Seed of the policy's random choices; the trace's seed when absent. */
	readonly seed?: number;
	/** Id of a request whose events are kept. */
	readonly tracedRequest?: string;
}

/** Result of a replay in virtual time. */
export interface ReplayResult {
	readonly report: ReplayReport;
	readonly records: readonly RequestRecord[];
	/** Events of the traced request with their virtual time. */
	readonly traced: ReadonlyArray<EventInput & {readonly at: Ms}>;
}

/** Time after the last arrival in which every request ends: the longest deadline and some room. */
const tailMs: Ms = 15_000;

/**
 * Replays a trace in virtual time: the decision modules of every entry VM over a fake fleet.
 *
 * @example
 * const {report} = await replayTrace(makeTrace({name: 'burst', deployment: 'die-works', seed: 1}), {policy});
 */
export async function replayTrace(trace: Trace, options: ReplayOptions): Promise<ReplayResult> {
	const deployment = createDeployment(trace.header.deployment);
	const config = StaticConfigView.create(deployment.declarations);
	const declarations = DeclarationSet.create(deployment.declarations);
	const clock = VirtualClock.create();
	const fleet = FakeFleet.create({clock, declarations, trace});
	const events = new StageRecorder(clock, options.tracedRequest);
	fleet.ledger.onStart = (requestId, stage) => {
		events.started(requestId, stage);
	};

	const random = Random.create(options.seed ?? trace.header.seed);
	const claims = new MemoryClaims(clock);
	const endMs = trace.header.duration_ms + tailMs;
	const vms = deployment.entryVms.map(place => new ReplayVm({
		place, clock, config, fleet, claims: claims.view(() => fleet.isLogDown || fleet.network.isCutOff(place.zone)), events, policy: options.policy, random: Random.create(random.integer(1, 1_000_000_000)),
	}));
	for (const vm of vms) {
		vm.start(vms.filter(other => other !== vm && other.place.zone === vm.place.zone), endMs);
	}

	const byName = new Map(vms.map(vm => [vm.place.name, vm]));
	const startWallMs = clock.wall();
	const records: RequestRecord[] = [];
	const send = async (request: TraceRequest, vm: ReplayVm) => {
		const startedAt = clock.now();
		const meter = new GapMeter(startedAt);
		const result = await vm.runner.run(request.pipeline, requestBody(request, startWallMs), {
			requestId: request.id,
			sink(texts) {
				meter.add(texts.length, clock.now());
			},
		});
		const expected = expectedText(request, declarations);
		records.push({
			request,
			result,
			tookMs: clock.now() - startedAt,
			...(meter.firstTokenMs === undefined ? {} : {firstTokenMs: meter.firstTokenMs}),
			gapsMs: meter.gapsMs,
			isCorrect: !isRejection(result) && result.answer === expected,
			isAdmitted: events.admitted.has(request.id),
		});
	};

	for (const request of trace.requests) {
		clock.after(request.at_ms + deployment.clientMs, () => {
			void send(request, byName.get(request.entry_vm)!);
		});
	}

	await clock.advance(endMs);
	return {
		report: createReport({
			trace, policy: options.policy.name, records, events, ledger: fleet.ledger, declarations, clientMs: deployment.clientMs,
		}),
		records,
		traced: events.traced,
	};
}
