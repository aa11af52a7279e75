import {Code, ConnectError} from '@connectrpc/connect';
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {Ms} from '../clock/index.js';
import {mergeEvents, noPeerEvents, type EventFilter} from '../events/index.js';
import type {
	DrainRequest, DrainResponseSchema, TraceRequest, TraceResponseSchema,
} from '../gen/guavamill/v1/operator_pb.js';
import type {OperatorParts} from './operator-parts.js';

const defaultTraceEvents = 1000;
const maxTraceEvents = 20_000;
/** Time for peers to send their events. */
const peerEventsTimeoutMs: Ms = 3000;
/** Time for the answer to reach the operator before this entry VM begins to shut down. */
const drainDelayMs: Ms = 50;

/** Serves Trace: merges the local events with those of the peers. @internal */
export async function trace(parts: OperatorParts, req: TraceRequest): Promise<MessageInitShape<typeof TraceResponseSchema>> {
	if (req.limit > maxTraceEvents) {
		throw new ConnectError(`Cannot trace: limit is above ${maxTraceEvents}`, Code.InvalidArgument);
	}

	const filter: EventFilter = {
		...(req.requestId === '' ? {} : {requestId: req.requestId}),
		...(req.team === '' ? {} : {team: req.team}),
		...(req.target === '' ? {} : {target: req.target}),
		...(req.sinceMs === 0 ? {} : {sinceMs: req.sinceMs}),
		...(req.untilMs === 0 ? {} : {untilMs: req.untilMs}),
	};
	const remote = await (parts.peerEvents ?? noPeerEvents).collect(filter, peerEventsTimeoutMs);
	const events = mergeEvents([parts.events.select(filter), remote.events]);
	return {
		events: events.slice(-(req.limit === 0 ? defaultTraceEvents : req.limit)).map(event => ({...event, sequence: BigInt(event.sequence)})),
		missingProcesses: [...remote.silent],
	};
}

/** Serves Drain. @internal */
export function drain(parts: OperatorParts, req: DrainRequest): MessageInitShape<typeof DrainResponseSchema> {
	const {subject} = req;
	if (subject.case === 'entryVm' && subject.value) {
		parts.logger.info('Drains by order of an operator.', {author: req.author});
		parts.clock.after(drainDelayMs, parts.shutdown);
		return {state: 'draining', startId: parts.vm().incarnation};
	}

	if (subject.case !== 'target') {
		throw new ConnectError('Cannot drain: the request names neither a target nor this entry VM', Code.InvalidArgument);
	}

	const target = parts.targets.get(subject.value);
	if (!target) {
		throw new ConnectError(`Cannot drain target ${subject.value}: it is not declared`, Code.NotFound);
	}

	const startId = req.startId === '' ? target.startId : req.startId;
	if (startId === undefined) {
		throw new ConnectError(`Cannot drain target ${subject.value}: its start id is not known here yet; give start_id`, Code.FailedPrecondition);
	}

	if (target.startId !== undefined && target.startId !== startId) {
		throw new ConnectError(`Cannot drain target ${subject.value}: its start id is ${target.startId}, not ${startId}`, Code.FailedPrecondition);
	}

	parts.targets.markDraining(subject.value, startId, `operator ${req.author}`);
	return {state: parts.targets.get(subject.value)?.state ?? 'gone', startId};
}
