import {
	TargetError, type Chunk, type EnginePort, type EngineState, type GenerateCall, type PortFactory, type ServiceCall, type ServicePort, type ServiceReply, type TargetHealth,
} from '../targets/index.js';
import {ChunkQueue} from './chunk-queue.js';
import {FakeConnection} from './simulated-connection.js';
import {type FakeEngine, type EngineJob} from './simulated-engine.js';
import type {FakeFleet, FakeTarget, OpenCall} from './simulated-fleet.js';
import {type FakeService, type ServiceJob} from './simulated-service.js';

type OnHealth = (health: TargetHealth | undefined) => void;
type Link = {readonly fleet: FakeFleet; readonly target: FakeTarget; readonly zone: string; readonly onHealth: OnHealth};

const bytesPerCall = 300;
const bytesPerChunk = 90;
const noState: EngineState = {
	model: '', version: '', adapters: [], role: 'both',
};

/** Ports of the entry VMs of one zone to the fake fleet. @internal */
export function fakePorts(fleet: FakeFleet, zone: string): PortFactory {
	return {
		engine(declaration, onHealth): EnginePort {
			const target = fleet.targets.get(declaration.name)!;
			const link: Link = {
				fleet, target, zone, onHealth,
			};
			const engine = target.process as FakeEngine;
			return {
				generate: (call, signal) => generate(link, call, signal),
				cancel: async () => undefined,
				// Each call has a connection of its own.
				renewConnections: () => undefined,
				async load() {
					await reach(link);
					return engine.load();
				},
				health: async () => probe(link),
				async cacheEvents(after) {
					await reach(link);
					return engine.cacheEvents(after);
				},
				order: async () => 'accepted',
				state: async () => noState,
			};
		},
		service(declaration, onHealth): ServicePort {
			const target = fleet.targets.get(declaration.name)!;
			const link: Link = {
				fleet, target, zone, onHealth,
			};
			const service = target.process as FakeService;
			return {
				call: (call, signal) => callService(link, call, signal),
				renewConnections: () => undefined,
				async lookup(key) {
					await reach(link);
					return service.lookup(key);
				},
				async load() {
					await reach(link);
					return service.load();
				},
				health: async () => probe(link),
			};
		},
	};
}

/** Rejects for a target that is dead and never resolves for one that is cut off; the reader's time-out ends the wait. */
async function reach({fleet, target, zone}: Link): Promise<void> {
	if (fleet.network.isCut(zone, target.zone)) {
		return silence();
	}

	if (target.process.faults.isDead) {
		throw TargetError.create('not_sent', `Cannot reach ${target.name}: connection refused`);
	}
}

async function silence(): Promise<never> {
	return new Promise<never>(() => {
		// Never resolves.
	});
}

function healthOf(link: Link): TargetHealth {
	return {startId: link.target.process.startId, draining: link.target.process.faults.isDraining};
}

async function probe(link: Link): Promise<TargetHealth> {
	await reach(link);
	if (link.target.process.faults.isStuck) {
		return silence();
	}

	const health = healthOf(link);
	link.onHealth(health);
	return health;
}

async function * generate(link: Link, call: GenerateCall, signal: AbortSignal): AsyncIterable<readonly Chunk[]> {
	const {fleet, target, zone} = link;
	const queue = new ChunkQueue();
	const path = {network: fleet.network, fromZone: zone, toZone: target.zone};
	const promptBytes = call.prompt.reduce((sum, segment) => sum + segment.text.length, bytesPerCall + call.generatedText.length);
	const connection = new FakeConnection(fleet.network, zone, target.zone);
	const job: EngineJob = {
		call,
		emit(chunks) {
			fleet.ledger.transferred(call.stage, chunks.length * bytesPerChunk, path);
			connection.send(() => {
				link.onHealth(healthOf(link));
				queue.push(chunks);
			});
		},
	};
	const engine = target.process as FakeEngine;
	const open = openCall(link, connection, {
		fail(err) {
			queue.fail(err);
		},
		arrive() {
			fleet.ledger.arrived({
				requestId: call.requestId, stage: call.stage, team: call.team, isIdempotent: true,
			});
			engine.arrive(job);
		},
	});
	fleet.ledger.transferred(call.stage, promptBytes, path);
	let isDone = false;
	const onAbort = () => {
		queue.fail(signal.reason instanceof TargetError ? signal.reason : TargetError.create('lost', `Cannot generate at ${target.name}: the call was aborted`));
	};

	signal.addEventListener('abort', onAbort, {once: true});
	try {
		while (!isDone) {
			const chunks = await queue.next();
			isDone = chunks.at(-1)!.done;
			yield chunks;
		}
	} finally {
		signal.removeEventListener('abort', onAbort);
		target.open.delete(open);
		if (!isDone) {
			connection.send(() => {
				engine.drop(job);
				engine.fill();
			});
		}
	}
}

async function callService(link: Link, call: ServiceCall, signal: AbortSignal): Promise<ServiceReply> {
	const {fleet, target, zone} = link;
	const path = {network: fleet.network, fromZone: zone, toZone: target.zone};
	const connection = new FakeConnection(fleet.network, zone, target.zone);
	const service = target.process as FakeService;
	fleet.ledger.transferred(call.stage, bytesPerCall + call.input.length, path);
	return new Promise((resolve, reject) => {
		const end = () => {
			signal.removeEventListener('abort', onAbort);
			target.open.delete(open);
		};

		const fail = (err: Error) => {
			end();
			reject(err);
		};

		const job: ServiceJob = {
			call,
			reply(reply) {
				fleet.ledger.transferred(call.stage, bytesPerCall + reply.output.length, path);
				connection.send(() => {
					link.onHealth(healthOf(link));
					end();
					resolve(reply);
				});
			},
		};
		const onAbort = () => {
			fail(TargetError.create('lost', `Cannot call ${target.name}: the call was aborted`));
			connection.send(() => {
				service.drop(job);
			});
		};

		const open = openCall(link, connection, {
			fail,
			arrive() {
				fleet.ledger.arrived({
					requestId: call.requestId, stage: call.stage, team: call.team, isIdempotent: call.idempotent, ...(call.idempotencyKey === undefined ? {} : {key: call.idempotencyKey}),
				});
				service.arrive(job);
			},
		});
		signal.addEventListener('abort', onAbort, {once: true});
	});
}

/** Sends a call on a connection; a target that is dead, draining or failing answers with the matching error. */
function openCall(link: Link, connection: FakeConnection, options: {fail: (err: Error) => void; arrive: () => void}): OpenCall {
	const {target} = link;
	const open: OpenCall = {connection, fail: options.fail};
	const refuse = (failure: 'not_sent' | 'refused' | 'failed', state: string) => {
		connection.send(() => {
			if (failure !== 'not_sent') {
				link.onHealth(healthOf(link));
			}

			options.fail(TargetError.create(failure, `Cannot call ${target.name}: ${state}`));
		});
	};

	target.open.add(open);
	connection.send(() => {
		const {faults} = target.process;
		if (faults.isDead) {
			refuse('not_sent', 'connection refused');
		} else if (faults.isDraining) {
			refuse('refused', 'it is draining');
		} else if (faults.isFailing) {
			refuse('failed', 'it answered 500');
		} else {
			options.arrive();
		}
	});
	return open;
}
