import {Code, ConnectError} from '@connectrpc/connect';
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {Ms} from '../clock/index.js';
import {mergeEvents, noPeerEvents, type EventFilter} from '../events/index.js';
import type {
	DrainRequest, DrainResponseSchema, TraceRequest, TraceResponseSchema,
} from '../gen/guavamill/v1/operator_pb.js';
import type {OperatorDependencies} from './operator-dependencies.js';

const defaultTraceLimit = 1000;
const maxTraceLimit = 20_000;
/** Time limit for collecting events from peers. */
const peerEventsTimeoutMs: Ms = 3000;
/** Delay before the shutdown, so that the response reaches the operator first. */
const drainDelayMs: Ms = 50;

/** Handles Trace: merges the local events with those of the peers. @internal */
export async function trace(dependencies: OperatorDependencies, req: TraceRequest): Promise<MessageInitShape<typeof TraceResponseSchema>> {
	if (req.limit > maxTraceLimit) {
		throw new ConnectError(`Cannot trace: limit is above ${maxTraceLimit}`, Code.InvalidArgument);
	}

	const filter: EventFilter = {
		...(req.requestId === '' ? {} : {requestId: req.requestId}),
		...(req.team === '' ? {} : {team: req.team}),
		...(req.target === '' ? {} : {target: req.target}),
		...(req.sinceMs === 0 ? {} : {sinceMs: req.sinceMs}),
		...(req.untilMs === 0 ? {} : {untilMs: req.untilMs}),
	};
	const collected = await (dependencies.peerEvents ?? noPeerEvents).collect(filter, peerEventsTimeoutMs);
	const events = mergeEvents([dependencies.events.select(filter), collected.events]);
	return {
		events: events.slice(-(req.limit === 0 ? defaultTraceLimit : req.limit)).map(event => ({...event, sequence: BigInt(event.sequence)})),
		missingProcesses: [...collected.silent],
	};
}

/** Handles Drain. @internal */
export function drain(dependencies: OperatorDependencies, req: DrainRequest): MessageInitShape<typeof DrainResponseSchema> {
	const {subject} = req;
	if (subject.case === 'entryVm' && subject.value) {
		dependencies.logger.info('Drain requested by an operator.', {author: req.author});
		dependencies.clock.after(drainDelayMs, dependencies.shutdown);
		return {state: 'draining', startId: dependencies.vm().incarnation};
	}

	if (subject.case !== 'target') {
		throw new ConnectError('Cannot drain: the request names neither a target nor this entry VM', Code.InvalidArgument);
	}

	const target = dependencies.targets.get(subject.value);
	if (!target) {
		throw new ConnectError(`Cannot drain target ${subject.value}: it is not declared`, Code.NotFound);
	}

	const startId = req.startId === '' ? target.startId : req.startId;
	if (startId === undefined) {
		throw new ConnectError(`Cannot drain target ${subject.value}: its start id is not known to this entry VM yet; specify start_id`, Code.FailedPrecondition);
	}

	if (target.startId !== undefined && target.startId !== startId) {
		throw new ConnectError(`Cannot drain target ${subject.value}: its start id is ${target.startId}, not ${startId}`, Code.FailedPrecondition);
	}

	dependencies.targets.markDraining(subject.value, startId, `operator ${req.author}`);
	return {state: dependencies.targets.get(subject.value)?.state ?? 'gone', startId};
}
