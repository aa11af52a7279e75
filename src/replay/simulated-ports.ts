import {
	TargetError, type Chunk, type EnginePort, type EngineState, type GenerateCall, type PortFactory, type ServiceCall, type ServicePort, type ServiceReply, type TargetHealth,
} from '../targets/index.js';
import {ChunkQueue} from './chunk-queue.js';
import {SimulatedConnection} from './simulated-connection.js';
import {type SimulatedEngine, type EngineJob} from './simulated-engine.js';
import type {SimulatedFleet, SimulatedTarget, OpenCall} from './simulated-fleet.js';
import {type SimulatedService, type ServiceJob} from './simulated-service.js';

type OnHealth = (health: TargetHealth | undefined) => void;
type TargetLink = {readonly fleet: SimulatedFleet; readonly target: SimulatedTarget; readonly zone: string; readonly onHealth: OnHealth};

const callOverheadBytes = 300;
const bytesPerChunk = 90;
const emptyEngineState: EngineState = {
	model: '', version: '', adapters: [], role: 'both',
};

/** Creates the ports through which the entry VMs of one zone call the simulated targets. @internal */
export function createSimulatedPorts(fleet: SimulatedFleet, zone: string): PortFactory {
	return {
		engine(declaration, onHealth): EnginePort {
			const target = fleet.targets.get(declaration.name)!;
			const link: TargetLink = {
				fleet, target, zone, onHealth,
			};
			const engine = target.server as SimulatedEngine;
			return {
				generate: (call, signal) => generate(link, call, signal),
				cancel: async () => undefined,
				// Each call uses its own connection.
				renewConnections: () => undefined,
				async load() {
					await checkReachable(link);
					return engine.load();
				},
				health: async () => probe(link),
				async cacheEvents(after) {
					await checkReachable(link);
					return engine.cacheEvents(after);
				},
				order: async () => 'accepted',
				state: async () => emptyEngineState,
			};
		},
		service(declaration, onHealth): ServicePort {
			const target = fleet.targets.get(declaration.name)!;
			const link: TargetLink = {
				fleet, target, zone, onHealth,
			};
			const service = target.server as SimulatedService;
			return {
				call: (call, signal) => callService(link, call, signal),
				renewConnections: () => undefined,
				async lookup(key) {
					await checkReachable(link);
					return service.lookup(key);
				},
				async load() {
					await checkReachable(link);
					return service.load();
				},
				health: async () => probe(link),
			};
		},
	};
}

/** Rejects when the target is dead. Never resolves when it is in another partition, so that the caller's time-out applies. */
async function checkReachable({fleet, target, zone}: TargetLink): Promise<void> {
	if (fleet.network.isPartitioned(zone, target.zone)) {
		return neverResolve();
	}

	if (target.server.faults.isDead) {
		throw TargetError.create('not_sent', `Cannot reach ${target.name}: connection refused`);
	}
}

async function neverResolve(): Promise<never> {
	return new Promise<never>(() => {
		// Never resolves.
	});
}

function currentHealth(link: TargetLink): TargetHealth {
	return {startId: link.target.server.startId, draining: link.target.server.faults.isDraining};
}

async function probe(link: TargetLink): Promise<TargetHealth> {
	await checkReachable(link);
	if (link.target.server.faults.isStuck) {
		return neverResolve();
	}

	const health = currentHealth(link);
	link.onHealth(health);
	return health;
}

async function * generate(link: TargetLink, call: GenerateCall, signal: AbortSignal): AsyncIterable<readonly Chunk[]> {
	const {fleet, target, zone} = link;
	const queue = new ChunkQueue();
	const path = {network: fleet.network, fromZone: zone, toZone: target.zone};
	const promptBytes = call.prompt.reduce((sum, segment) => sum + segment.text.length, callOverheadBytes + call.generatedText.length);
	const connection = new SimulatedConnection(fleet.network, zone, target.zone);
	const job: EngineJob = {
		call,
		emit(chunks) {
			fleet.executions.recordTransfer(call.stage, chunks.length * bytesPerChunk, path);
			connection.send(() => {
				link.onHealth(currentHealth(link));
				queue.push(chunks);
			});
		},
	};
	const engine = target.server as SimulatedEngine;
	const open = openCall(link, connection, {
		fail(err) {
			queue.fail(err);
		},
		arrive() {
			fleet.executions.recordArrival({
				requestId: call.requestId, stage: call.stage, team: call.team, isIdempotent: true,
			});
			engine.submit(job);
		},
	});
	fleet.executions.recordTransfer(call.stage, promptBytes, path);
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
		target.openCalls.delete(open);
		if (!isDone) {
			connection.send(() => {
				engine.cancel(job);
				engine.startQueued();
			});
		}
	}
}

async function callService(link: TargetLink, call: ServiceCall, signal: AbortSignal): Promise<ServiceReply> {
	const {fleet, target, zone} = link;
	const path = {network: fleet.network, fromZone: zone, toZone: target.zone};
	const connection = new SimulatedConnection(fleet.network, zone, target.zone);
	const service = target.server as SimulatedService;
	fleet.executions.recordTransfer(call.stage, callOverheadBytes + call.input.length, path);
	return new Promise((resolve, reject) => {
		const end = () => {
			signal.removeEventListener('abort', onAbort);
			target.openCalls.delete(open);
		};

		const fail = (err: Error) => {
			end();
			reject(err);
		};

		const job: ServiceJob = {
			call,
			reply(reply) {
				fleet.executions.recordTransfer(call.stage, callOverheadBytes + reply.output.length, path);
				connection.send(() => {
					link.onHealth(currentHealth(link));
					end();
					resolve(reply);
				});
			},
		};
		const onAbort = () => {
			fail(TargetError.create('lost', `Cannot call ${target.name}: the call was aborted`));
			connection.send(() => {
				service.cancel(job);
			});
		};

		const open = openCall(link, connection, {
			fail,
			arrive() {
				fleet.executions.recordArrival({
					requestId: call.requestId, stage: call.stage, team: call.team, isIdempotent: call.idempotent, ...(call.idempotencyKey === undefined ? {} : {key: call.idempotencyKey}),
				});
				service.submit(job);
			},
		});
		signal.addEventListener('abort', onAbort, {once: true});
	});
}

/** Sends a call over a connection. A dead, draining or failing target replies with the corresponding error. */
function openCall(link: TargetLink, connection: SimulatedConnection, options: {fail: (err: Error) => void; arrive: () => void}): OpenCall {
	const {target} = link;
	const open: OpenCall = {connection, fail: options.fail};
	const replyWithError = (failure: 'not_sent' | 'refused' | 'failed', state: string) => {
		connection.send(() => {
			if (failure !== 'not_sent') {
				link.onHealth(currentHealth(link));
			}

			options.fail(TargetError.create(failure, `Cannot call ${target.name}: ${state}`));
		});
	};

	target.openCalls.add(open);
	connection.send(() => {
		const {faults} = target.server;
		if (faults.isDead) {
			replyWithError('not_sent', 'connection refused');
		} else if (faults.isDraining) {
			replyWithError('refused', 'the target is draining');
		} else if (faults.isFailing) {
			replyWithError('failed', 'the target returned status 500');
		} else {
			options.arrive();
		}
	});
	return open;
}
