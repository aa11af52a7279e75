/**
 * Measures the cost of scheduling decisions: microseconds per request (admit, acquire and settle) on one core.
 * Run: npx tsx bench/policy-cost.ts
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {SystemClock} from '../src/clock/index.js';
import {DeclarationSet, StaticConfigView} from '../src/config/index.js';
import {Random} from '../src/random/index.js';
import {FairScheduler, type Grant, type ZoneDigest} from '../src/teams/index.js';
import {FakeTargets} from '../test/support/fake-targets.js';
import {pipelineOf, policyDeclarations} from '../test/support/policy-declarations.js';

const seed = 42;
const warmUpSteps = 500;
const maxSteps = 20_000;
const maxRunMs = 8000;
const slots = 8;
const deadlineMs = 600_000;

type Size = {name: string; teams: number; targets: number; peers: number};

/** The current size, and the size planned for two years from now. */
const sizes: readonly Size[] = [
	{
		name: 'present', teams: 5, targets: 12, peers: 8,
	},
	{
		name: 'in two years', teams: 1200, targets: 890, peers: 75,
	},
];

/** Creates the digests of the other entry VMs. Each one lists work of a quarter of the teams and calls to a tenth of the targets. */
function createPeerDigests({teams, targets, peers}: Size, sequence: number): ZoneDigest[] {
	return Array.from({length: peers}, (_, peer) => ({
		process: `peer-${peer}`,
		incarnation: 'i1',
		sequence,
		work: Array.from({length: Math.ceil(teams / 4)}, (_, index) => ({
			team: `team-${((index * 4) + peer) % teams}`, pool: 'pool', inFlightMs: 500, queuedMs: 500,
		})),
		inFlight: Array.from({length: Math.ceil(targets / 10)}, (_, index) => ({target: `zone-a-${(((index * 10) + peer) % targets) + 1}`, calls: 1})),
		draining: [],
		configOffset: 0,
	}));
}

function createScheduler(size: Size) {
	const declarations = policyDeclarations({teams: Object.fromEntries(Array.from({length: size.teams}, (_, index) => [`team-${index}`, 1 + (index % 4)])), targets: {'zone-a': size.targets}, slots});
	const clock = SystemClock.create();
	const pipeline = pipelineOf(declarations);
	const registry = FakeTargets.create(DeclarationSet.create(declarations));
	const random = Random.create(seed);
	let peerDigests = createPeerDigests(size, 0);
	const scheduler = FairScheduler.create({
		clock, config: StaticConfigView.create(declarations), targets: registry, zone: 'zone-a', zoneView: {peerDigests: () => peerDigests}, random,
	});
	let requests = 0;
	const system = {id: 'system', text: 'x'.repeat(4000)};
	return {
		/** Admits a request and acquires a target for its first stage. */
		async startRequest(): Promise<Grant> {
			const requestId = `request-${++requests}`;
			const team = `team-${random.integer(0, size.teams - 1)}`;
			const prompt = [system, {id: 'question', text: requestId}];
			scheduler.admit({
				requestId, team, pipeline, prompt, maxTokens: 10, remainingMs: deadlineMs,
			});
			return scheduler.acquire({
				requestId, team, pipeline, stage: pipeline.stages[0]!, attempt: 1, prompt, maxTokens: 10, deadlineMs: clock.now() + deadlineMs, failedTargets: [],
			}, new AbortController().signal);
		},
		replaceDigests(sequence: number) {
			peerDigests = createPeerDigests(size, sequence);
		},
		localDigest: () => scheduler.localDigest(),
	};
}

/** Keeps `inFlight` requests granted or queued; each step settles one request and starts another. */
async function measure(size: Size, inFlight: number): Promise<{requests: number; microseconds: number}> {
	const {startRequest} = createScheduler(size);
	const grants: Grant[] = [];
	let nextGrant = 0;
	const startNext = () => {
		void startRequest().then(grant => grants.push(grant));
	};

	for (let index = 0; index < inFlight; index++) {
		startNext();
	}

	await Promise.resolve();
	let startedAt = performance.now();
	let requests = 0;
	for (let step = 0; step < maxSteps + warmUpSteps && performance.now() - startedAt < maxRunMs; step++) {
		if (step === warmUpSteps) {
			startedAt = performance.now();
			requests = 0;
		}

		startNext();
		while (nextGrant >= grants.length) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		grants[nextGrant++]!.settle({outcome: 'ok', serviceMs: 200});
		requests++;
	}

	return {requests, microseconds: (performance.now() - startedAt) * 1000 / requests};
}

/** Measures the time to read the digests of all peers and the time to build the local digest; the best of five rounds. */
async function measureDigests(size: Size): Promise<{readMs: number; buildMs: number}> {
	const {startRequest, replaceDigests, localDigest} = createScheduler(size);
	// The load stays below the number of slots, because queued requests also cause reads of the digests.
	for (let index = 0; index < size.targets / 4; index++) {
		void startRequest().catch(() => undefined);
	}

	let readMs = Number.POSITIVE_INFINITY;
	let buildMs = Number.POSITIVE_INFINITY;
	for (let round = 1; round <= 5; round++) {
		replaceDigests(round);
		// The scheduler reads digests at most every 200 ms; after this pause, the next request causes a read.
		await new Promise(resolve => {
			setTimeout(resolve, 250);
		});
		let startedAt = performance.now();
		void startRequest().catch(() => undefined);
		readMs = Math.min(readMs, performance.now() - startedAt);
		startedAt = performance.now();
		localDigest();
		buildMs = Math.min(buildMs, performance.now() - startedAt);
	}

	return {readMs, buildMs};
}

for (const size of sizes) {
	const lightLoad = await measure(size, Math.ceil(size.targets * slots / 20));
	const saturated = await measure(size, size.targets * slots);
	const {readMs, buildMs} = await measureDigests(size);
	console.log(JSON.stringify({
		size: size.name,
		teams: size.teams,
		targets: size.targets,
		peers: size.peers,
		seed,
		us_per_request_free: Math.round(lightLoad.microseconds * 10) / 10,
		us_per_request_saturated: Math.round(saturated.microseconds * 10) / 10,
		ms_to_read_all_digests: Math.round(readMs * 100) / 100,
		ms_to_build_digest: Math.round(buildMs * 100) / 100,
	}));
}

// Queued attempts would keep the process alive until their deadlines.
process.exit(0);
