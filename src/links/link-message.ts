import {z} from 'zod';
import {eventKinds} from '../events/index.js';
import {isPromptWork} from './is-prompt-work.js';
import {LinkError} from './link-error.js';
import {packWire, unpackWire} from './wire.js';

/** Limits of fields that are made of what others send; a link is closed for a message that exceeds them. */
export const linkLimits = {
	/** Length of the id of a request, and of the names of targets, services and zones. */
	nameLength: 200,
	/** Pieces of the stages of a request. */
	pieces: 10_000,
	pieceKeyLength: 1000,
	/** Stages of a route. */
	stages: 50,
	/** Regions in which a request may be served. */
	regions: 1000,
	handleLength: 200,
	/** Prompt parts of a suspicion, and their lengths. */
	promptParts: 2000,
	promptPartLength: 16_384,
	/** Crashes of a suspicion, and the lengths of their names. */
	crashes: 100,
	crashLength: 1000,
	/** Engines in a message about prompt work, and classes of length of the prompts of a service. */
	engines: 5000,
	lengthClasses: 100,
} as const;

const count = z.number().int().nonnegative();
const name = z.string().min(1).max(linkLimits.nameLength);
const id = count;
// Limits that protect against a faulty peer: result handles in a message, records in news, services with stage pools, and suspicions in a message.
const maxHandles = 50_000;
const maxNewsRecords = 20_000;
const maxStageServices = 1000;
/** Maximum number of entry VMs between one that asks for a place at a limited target and the one that gives it. */
export const maxLimitHops = 3;
/** Maximum number of entry VMs between one that asks for the reach of targets and one that replies. */
const maxReachHops = 10;
const maxSuspicions = 500;
const promptPart = z.string().min(1).max(linkLimits.promptPartLength);
const agoMs = z.number().nonnegative();
/** Number of 32 bits that names a start of an engine. */
const engineKey = count.max(0xFF_FF_FF_FF);
const handle = z.string().min(1).max(linkLimits.handleLength);

/** Encoded digest. Names are replaced by indexes into a table that grows over the session. */
export const wireDigestSchema = z.strictObject({
	/** Sequence number. */
	s: count,
	/** Sequence number of the digest that a delta is based on; absent in a full digest. */
	b: count.optional(),
	/** Names to append to the table. */
	n: z.array(z.string().max(200)).max(20_000).optional(),
	/** Work rows: team, pool, in-flight ms, queued ms. A row with both times 0 is removed. */
	w: z.array(z.tuple([count, count, count, count])).max(50_000).optional(),
	/** In-flight rows: target, number of calls. A row with 0 calls is removed. */
	f: z.array(z.tuple([count, count])).max(50_000).optional(),
	/** Draining targets: target, start id. The complete list, sent when it has changed. */
	d: z.array(z.tuple([count, count])).max(20_000).optional(),
	/** Offset in the configuration stream, sent when it has changed. */
	o: z.number().int().min(-1).optional(),
});

const eventSchema = z.object({
	kind: z.enum(eventKinds),
	requestId: z.string().optional(),
	team: z.string().optional(),
	stage: z.string().optional(),
	attempt: z.number().optional(),
	target: z.string().optional(),
	detail: z.string().optional(),
	process: z.string(),
	sequence: z.number(),
	wallMs: z.number(),
	logical: z.number(),
});

const filterSchema = z.strictObject({
	requestId: z.string().optional(), team: z.string().optional(), target: z.string().optional(), sinceMs: z.number().optional(), untilMs: z.number().optional(),
});

/**
 * Prompt work at model engines that has changed, or all of it if `isFull`: engine, tokens to be prefilled, tokens held.
 * Measured speeds: engine, ratio to the usual time and weight in hundredths. Lengths of prompts that were sent, by service:
 * class, number, uncached tokens. Messages are validated by {@link isPromptWork}, which accepts the same.
 *
 * @internal
 */
export const promptWorkSchema = z.strictObject({
	type: z.literal('prompt-work'),
	isFull: z.boolean(),
	rows: z.array(z.tuple([engineKey, count, count])).max(linkLimits.engines),
	speeds: z.array(z.tuple([engineKey, count.positive(), count.positive()])).max(linkLimits.engines),
	lengths: z.array(z.tuple([name, z.array(z.tuple([count, count, count])).max(linkLimits.lengthClasses)])).max(linkLimits.engines),
});

// The index in this list is the type number in the protocol: append new types at the end and never reorder.
const messageSchemas = [
	z.strictObject({type: z.literal('ping')}),
	// A message without a digest means that the digest has not changed since the previous one.
	z.strictObject({type: z.literal('digest'), digest: wireDigestSchema.optional()}),
	z.strictObject({type: z.literal('summary'), digest: wireDigestSchema.optional()}),
	z.strictObject({type: z.literal('roster'), members: z.array(z.tuple([name, name])).max(5000)}),
	z.strictObject({type: z.literal('draining'), target: name, startId: name}),
	z.strictObject({type: z.literal('config-request'), after: z.number().int().min(-1)}),
	z.strictObject({type: z.literal('config-state'), state: z.string()}),
	z.strictObject({
		type: z.literal('forward'), id, requestId: name, to: name, pipeline: name, body: z.string(), remainingMs: z.number(), hops: z.number().int().min(0).max(2),
	}),
	z.strictObject({type: z.literal('forward-reply'), id, result: z.string().optional()}),
	z.strictObject({
		type: z.literal('events-request'), id, filter: filterSchema, timeoutMs: z.number().positive().max(60_000), scope: z.enum(['process', 'zone', 'other_zones']),
	}),
	z.strictObject({
		type: z.literal('events-reply'), id, events: z.array(eventSchema).max(100_000), answered: z.array(name).max(5000), silent: z.array(name).max(5000),
	}),
	// Times are relative, since the clocks of VMs differ.
	z.strictObject({
		type: z.literal('stage-plan'),
		id,
		attemptId: name,
		stages: z.array(z.strictObject({
			service: name, after: z.array(count).max(linkLimits.stages), resultBytes: z.number().nonnegative(), pieces: count.max(linkLimits.pieces),
		})).min(1).max(linkLimits.stages),
		// Pieces of each stage that earlier runs may have sent; absent in the first run.
		sentPieces: z.array(count.max(linkLimits.pieces)).max(linkLimits.stages).readonly().optional(),
		pieceKey: z.string().max(linkLimits.pieceKeyLength).optional(),
		zone: name,
		priority: z.number(),
		callInMs: z.number(),
		deadlineInMs: z.number(),
		// Regions in which the stages may run; absent if in any. Builds before regions were introduced close the link.
		regions: z.array(name).max(linkLimits.regions).readonly().optional(),
		// The sender hosts the pools of another cell, which are busy or may not run the plan; it is not passed on again.
		isSpilled: z.boolean().optional(),
	}),
	z.strictObject({
		type: z.literal('stage-results'), id, results: z.array(z.strictObject({handle, zone: z.string().max(200), bytes: z.number()})).max(linkLimits.pieces),
	}),
	z.strictObject({
		type: z.literal('stage-failure'), id, failure: z.enum(['late', 'input_gone', 'no_target', 'failed', 'cancelled', 'overloaded', 'host_left', 'no_budget']), retryAfterMs: z.number().nonnegative(),
		// Pieces of each stage that this run or earlier ones may have sent; absent if all may have been.
		sentPieces: z.array(count.max(linkLimits.pieces)).max(linkLimits.stages).readonly().optional(),
	}),
	z.strictObject({type: z.literal('stage-cancel'), id}),
	z.strictObject({type: z.literal('stage-free'), handles: z.array(handle).max(maxHandles)}),
	// The sender is shutting down: it completes the work that it has accepted and accepts no more.
	z.strictObject({type: z.literal('leaving')}),
	// What the sender has read from a topic of the store, by key; a record without a value deletes its key. Builds before the era was introduced send none.
	z.strictObject({
		type: z.literal('topic-news'), topic: name, era: count.optional(), from: count, next: count, outageMs: z.number().nonnegative(), records: z.array(z.tuple([z.string().max(1000), z.custom<Uint8Array | null>(value => value === null || value instanceof Uint8Array)])).max(maxNewsRecords),
	}),
	// A heartbeat that promises the next one within the shorter interval.
	z.strictObject({type: z.literal('beat')}),
	// Load of the stage pools that the sender hosts: service, expected wait in ms, further wait in ms for each piece.
	z.strictObject({type: z.literal('stage-load'), services: z.array(z.tuple([name, z.number().nonnegative(), z.number().nonnegative()])).max(maxStageServices)}),
	// Evidence that prompt parts or requests crash targets: ids of parts and requests, weight of the evidence of each crash, times since the first request was sent, since the latest crash and since the quarantine; then parts of answered requests and the times since the answers.
	z.strictObject({
		type: z.literal('prompt-suspicions'),
		suspicions: z.array(z.tuple([z.array(promptPart).min(1).max(linkLimits.promptParts), z.array(z.tuple([z.string().max(linkLimits.crashLength), z.number().positive()])).min(1).max(linkLimits.crashes), agoMs, agoMs, agoMs.nullable()])).max(maxSuspicions),
		answered: z.array(z.tuple([promptPart, agoMs])).max(linkLimits.promptParts),
	}),
	// The limit that a start of a target names, in requests per second, and the time since it was seen; null if the target no longer names one.
	z.strictObject({
		type: z.literal('target-limit'), target: name, startedMs: z.number().nullable(), perSecond: z.number().nonnegative().nullable(), agoMs,
	}),
	// Asks for a place within `maxWaitMs` among the requests to a target with a limit; `hops` counts the entry VMs that pass it on.
	z.strictObject({
		type: z.literal('limit-request'), id, target: name, startedMs: z.number().nullable(), zone: z.string().max(200), perSecond: z.number().nonnegative(), maxWaitMs: z.number().nonnegative(), hops: count.max(maxLimitHops),
	}),
	// The place is `waitMs` away, or null if none is free in time; another request makes sense after `retryAfterMs`.
	z.strictObject({
		type: z.literal('limit-reply'), id, waitMs: z.number().nonnegative().nullable(), retryAfterMs: z.number().nonnegative(),
	}),
	// A start of a target says in its responses that it is draining.
	z.strictObject({type: z.literal('target-draining'), target: name, startedMs: z.number().nullable()}),
	// Asks for an entry VM that reaches targets; `hops` counts the entry VMs that pass it on.
	z.strictObject({type: z.literal('reach-request'), id, hops: count.max(maxReachHops)}),
	// The address for callers of one that does, or null.
	z.strictObject({type: z.literal('reach-reply'), id, callers: z.string().max(linkLimits.nameLength).nullable()}),
	// The sender leads its cell only if no other member can, until it says that this has ended.
	z.strictObject({type: z.literal('standby'), isOn: z.boolean()}),
	// A stage target has crashed during a call with pieces of the plan `id` of the receiver, which knows the request.
	z.strictObject({
		type: z.literal('stage-crash'), id, crash: z.string().min(1).max(linkLimits.crashLength), sentAgoMs: agoMs, brokenAgoMs: agoMs,
	}),
	// The sender lends the receiver, which hosts the stage pools, its share of the retry slack for pieces, for a fixed time.
	// `spent` is the number of retries that earlier hosts have paid for with it, absent without any, as with builds before it was introduced, which close the link for it.
	z.strictObject({type: z.literal('share-loan'), spent: z.number().positive().optional()}),
	// The sender, which no longer hosts the stage pools, uses no more of that share, and has paid for `spent` retries with it.
	z.strictObject({type: z.literal('share-return'), spent: z.number().positive().optional()}),
	// Zone of the entry VM with an address for callers that a reach-reply names next.
	z.strictObject({type: z.literal('reach-zone'), callers: z.string().max(linkLimits.nameLength), zone: name}),
	promptWorkSchema,
	// A target is cold for `remainingMs` more; its phase has begun `agoMs` ago, as `source` told.
	z.strictObject({
		type: z.literal('target-cold'), target: name, source: z.enum(['entry', 'health', 'start', 'reachable_again', 'evacuation']), remainingMs: z.number().nonnegative(), agoMs,
	}),
	// Asks for a permit within `maxWaitMs` for a request to a cold target; `hops` counts the entry VMs that pass it on.
	z.strictObject({
		type: z.literal('permit-request'), id, target: name, service: name, zone: z.string().max(200), maxWaitMs: z.number().nonnegative(), hops: count.max(maxLimitHops),
	}),
	// The permit is free in `waitMs`, or null if none is in time; another request makes sense after `retryAfterMs`.
	z.strictObject({
		type: z.literal('permit-reply'), id, waitMs: z.number().nonnegative().nullable(), retryAfterMs: z.number().nonnegative(),
	}),
	// The sender leads its cell and asks for the vote with which it may grant permits.
	z.strictObject({type: z.literal('permit-vote-request'), id}),
	z.strictObject({type: z.literal('permit-vote'), id, isGranted: z.boolean()}),
	// Asks the leader of the cell for a part of a retry at a service, which it collects from the entry VMs of the cell.
	z.strictObject({
		type: z.literal('retry-request'), id, service: name, amount: z.number().positive().max(1),
	}),
	// Asks an entry VM to lend up to `amount` of a retry.
	z.strictObject({
		type: z.literal('retry-loan-request'), id, service: name, amount: z.number().positive().max(1),
	}),
	// The part of a retry that is lent, and what the sender could lend beyond it.
	z.strictObject({
		type: z.literal('retry-loan'), id, amount: z.number().nonnegative().max(1), leftAmount: z.number().nonnegative(),
	}),
	// Returns a part of the loan `id` of the receiver that nobody has used or will use.
	z.strictObject({type: z.literal('retry-loan-return'), id, amount: z.number().positive().max(1)}),
	// Requests that each target of a service may reject in a second without a crash, and the time since that was seen; null if they say so no longer.
	z.strictObject({
		type: z.literal('service-brittle'), service: name, perSecond: z.number().nonnegative().nullable(), agoMs,
	}),
	// Asks for one of the slots of a brittle target for `holder`, which has `held` others; `hops` counts the entry VMs that pass it on.
	z.strictObject({
		type: z.literal('slot-request'), id, target: name, startedMs: z.number().nullable(), zone: z.string().max(200), slots: z.number().positive(), perSecond: z.number().nonnegative(), holder: name, held: count, hops: count.max(maxLimitHops),
	}),
	// Another request makes sense after `retryAfterMs` if the slot is not granted.
	z.strictObject({
		type: z.literal('slot-reply'), id, isGranted: z.boolean(), retryAfterMs: z.number().nonnegative(),
	}),
	// The holder has `held` slots left after a request, for which the target had no place if `isRejected`.
	z.strictObject({
		type: z.literal('slot-release'), target: name, startedMs: z.number().nullable(), zone: z.string().max(200), slots: z.number().positive(), holder: name, held: count, isRejected: z.boolean(), hops: count.max(maxLimitHops),
	}),
] as const;

/** A message between entry VMs. */
export type LinkMessage = z.infer<typeof messageSchemas[number]>;

/** Type of a message; also the value of the `cause` label in link metrics. */
export type LinkMessageType = LinkMessage['type'];

/** Digest in the form in which it is sent to peers. */
export type WireDigest = z.infer<typeof wireDigestSchema>;

/** Timestamp of the sender's hybrid logical clock: physical time in ms and logical counter. */
export type LinkTime = readonly [physicalMs: number, logical: number];

/** All message types, indexed by their type number. */
export const linkMessageTypes = messageSchemas.map(schema => schema.shape.type.value) as readonly LinkMessageType[];

const heartbeats: ReadonlyMap<number, 'ping' | 'beat'> = new Map([[linkMessageTypes.indexOf('ping'), 'ping'], [linkMessageTypes.indexOf('beat'), 'beat']]);
/** First byte of a MessagePack array with one element. */
const oneElementArray = 0x91;

const promptWorkNumber = linkMessageTypes.indexOf('prompt-work');

type PromptWorkFields = Omit<z.infer<typeof promptWorkSchema>, 'type'>;

/** Whether a decoded value is a valid message about prompt work, which carries no timestamp. */
function isUntimedPromptWork(value: unknown): value is [number, PromptWorkFields] {
	if (!Array.isArray(value) || value.length !== 2 || value[0] !== promptWorkNumber) {
		return false;
	}

	const fields: unknown = value[1];
	return typeof fields === 'object' && fields !== null && isPromptWork(fields as Record<string, unknown>, linkLimits);
}

const envelopeSchema = z.tuple([count]).rest(z.unknown());
const timeSchema = z.tuple([z.number().nonnegative(), count]).nullish();

/**
 * Encodes a message. A ping carries no timestamp, since no event depends on it.
 *
 * @internal
 */
export function encodeLinkMessage(message: LinkMessage, time?: LinkTime): Uint8Array {
	const {type, ...fields} = message;
	const number = linkMessageTypes.indexOf(type);
	const body = message.type === 'digest' || message.type === 'summary' ? message.digest && packDigest(message.digest) : fields;
	return packWire(type === 'ping' || type === 'beat' || body === undefined ? [number] : (time ? [number, body, time] : [number, body]));
}

const digestKeys = ['s', 'b', 'n', 'w', 'f', 'd', 'o'] as const;

/**
 * Encodes a digest as an array and omits trailing absent fields. Digests are compact because they are the most
 * frequent messages after heartbeats.
 */
function packDigest(digest: WireDigest): unknown[] {
	const list = digestKeys.map(key => digest[key] ?? null);
	return list.slice(0, list.findLastIndex(value => value !== null) + 1);
}

function unpackDigest(list: unknown): {digest?: unknown} {
	if (!Array.isArray(list)) {
		return list === undefined ? {} : {digest: list};
	}

	return {digest: Object.fromEntries(digestKeys.map((key, index) => [key, list[index] as unknown]).filter(([, value]) => value !== null && value !== undefined))};
}

/**
 * Decodes and validates a message. Returns `undefined` for an unknown type, which a newer build may send.
 * Throws `LinkError` if the message is malformed.
 *
 * @internal
 */
export function decodeLinkMessage(payload: Uint8Array): {message: LinkMessage; time: LinkTime | undefined} | undefined {
	// Heartbeats are by far the most frequent messages and need no validation.
	const heartbeat = payload.length === 2 && payload[0] === oneElementArray ? heartbeats.get(payload[1]!) : undefined;
	if (heartbeat) {
		return {message: {type: heartbeat}, time: undefined};
	}

	let value: unknown;
	try {
		value = unpackWire(payload);
	} catch {
		throw LinkError.create('bad_frame', 'Cannot read a message: it is malformed');
	}

	if (isUntimedPromptWork(value)) {
		return {message: {...value[1], type: 'prompt-work'}, time: undefined};
	}

	const envelope = envelopeSchema.safeParse(value);
	if (!envelope.success) {
		throw LinkError.create('bad_frame', 'Cannot read a message: it has no type');
	}

	const [number, body, time] = envelope.data as [number, Record<string, unknown> | undefined, unknown];
	const schema = messageSchemas[number];
	if (!schema) {
		return undefined;
	}

	const type = linkMessageTypes[number]!;
	const fields = type === 'digest' || type === 'summary' ? unpackDigest(body) : body;
	const parsed = schema.safeParse({...fields, type});
	const parsedTime = timeSchema.safeParse(time);
	if (!parsed.success || !parsedTime.success) {
		throw LinkError.create('bad_frame', `Cannot read a message of type ${type}: it is malformed`);
	}

	return {message: parsed.data, time: parsedTime.data ?? undefined};
}
