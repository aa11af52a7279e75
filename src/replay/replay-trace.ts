import type {Ms} from '../clock/index.js';
import {DeclarationSet, StaticConfigView} from '../config/index.js';
import type {EventInput} from '../events/index.js';
import {Random} from '../random/index.js';
import {isRejection} from '../requests/index.js';
import {createDeployment} from './deployment.js';
import {expectedText} from './expected-text.js';
import {SimulatedFleet} from './simulated-fleet.js';
import {TokenLatencyRecorder} from './token-latency-recorder.js';
import {MemoryClaims} from './memory-claims.js';
import {createReport, type ReplayReport} from './report.js';
import type {ReplayPolicy} from './replay-policy.js';
import {ReplayVm} from './replay-vm.js';
import {requestBody} from './request-body.js';
import type {RequestRecord} from './request-record.js';
import {StageRecorder} from './stage-recorder.js';
import type {Trace, TraceRequest} from './trace.js';
import {VirtualClock} from './virtual-clock.js';

/** Options of `replayTrace`. */
export interface ReplayOptions {
	readonly policy: ReplayPolicy;
	/** Seed of the random choices of the entry VMs. Defaults to the seed of the trace. */
	readonly seed?: number;
	/** ID of a request whose events are returned in `tracedEvents`. */
	readonly tracedRequestId?: string;
}

/** Result of a replay in virtual time. */
export interface ReplayResult {
	readonly report: ReplayReport;
	readonly records: readonly RequestRecord[];
	/** Events of the traced request with their virtual time. */
	readonly tracedEvents: ReadonlyArray<EventInput & {readonly at: Ms}>;
}

/** Time after the arrivals in which all requests end: the longest deadline plus a margin. */
const drainMs: Ms = 15_000;

/**
 * Replays a trace in virtual time: runs the scheduling and request modules of every entry VM on simulated targets.
 *
 * @example
 * const {report} = await replayTrace(makeTrace({name: 'burst', deployment: 'die-works', seed: 1}), {policy});
 */
export async function replayTrace(trace: Trace, options: ReplayOptions): Promise<ReplayResult> {
	const deployment = createDeployment(trace.header.deployment);
	const config = StaticConfigView.create(deployment.declarations);
	const declarations = DeclarationSet.create(deployment.declarations);
	const clock = VirtualClock.create();
	const fleet = SimulatedFleet.create({clock, declarations, trace});
	const events = new StageRecorder(clock, options.tracedRequestId);
	fleet.executions.onStart = (requestId, stage) => {
		events.recordStart(requestId, stage);
	};

	const random = Random.create(options.seed ?? trace.header.seed);
	const claims = new MemoryClaims(clock);
	const endMs = trace.header.duration_ms + drainMs;
	const vms = deployment.entryVms.map(location => new ReplayVm({
		location, clock, config, fleet, claims: claims.forEntryVm(() => fleet.isLogDown || fleet.network.isIsolated(location.zone)), events, policy: options.policy, random: Random.create(random.integer(1, 1_000_000_000)),
	}));
	for (const vm of vms) {
		vm.start(vms.filter(other => other !== vm && other.location.zone === vm.location.zone), endMs);
	}

	const byName = new Map(vms.map(vm => [vm.location.name, vm]));
	const startWallMs = clock.wall();
	const records: RequestRecord[] = [];
	const send = async (request: TraceRequest, vm: ReplayVm) => {
		const startedAt = clock.now();
		const latencies = new TokenLatencyRecorder(startedAt);
		const result = await vm.runner.run(request.pipeline, requestBody(request, startWallMs), {
			requestId: request.id,
			sink(texts) {
				latencies.add(texts.length, clock.now());
			},
		});
		const expected = expectedText(request, declarations);
		records.push({
			request,
			result,
			latencyMs: clock.now() - startedAt,
			...(latencies.firstTokenMs === undefined ? {} : {firstTokenMs: latencies.firstTokenMs}),
			interTokenMs: latencies.interTokenMs,
			isCorrect: !isRejection(result) && result.answer === expected,
			isAdmitted: events.admitted.has(request.id),
		});
	};

	for (const request of trace.requests) {
		clock.after(request.at_ms + deployment.callerLatencyMs, () => {
			void send(request, byName.get(request.entry_vm)!);
		});
	}

	await clock.advance(endMs);
	return {
		report: createReport({
			trace, policy: options.policy.name, records, events, executions: fleet.executions, declarations, callerLatencyMs: deployment.callerLatencyMs,
		}),
		records,
		tracedEvents: events.tracedEvents,
	};
}
