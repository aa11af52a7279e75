/**
 * Cost of scheduling decisions: microseconds per request (admit, acquire and settle) on one core.
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
const warmUpRequests = 500;
const maxRequests = 20_000;
const maxRunMs = 8000;
const slots = 8;
const deadlineMs = 600_000;

type Size = {name: string; teams: number; targets: number; peers: number};

const sizes: readonly Size[] = [
	{
		name: 'present', teams: 5, targets: 12, peers: 8,
	},
	{
		name: 'in two years', teams: 1200, targets: 890, peers: 75,
	},
];

/** Digests of the other entry VMs, each with work of a part of the teams; renewed on request. */
function digests({teams, targets, peers}: Size, sequence: number): ZoneDigest[] {
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
	let others = digests(size, 0);
	const scheduler = FairScheduler.create({
		clock, config: StaticConfigView.create(declarations), targets: registry, zone: 'zone-a', zoneView: {peerDigests: () => others}, random,
	});
	let requests = 0;
	const system = {id: 'system', text: 'x'.repeat(4000)};
	return {
		/** Admits a request and asks for its target. */
		async start(): Promise<Grant> {
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
		renewDigests(sequence: number) {
			others = digests(size, sequence);
		},
		localDigest: () => scheduler.localDigest(),
	};
}

/** Keeps `inFlight` requests granted or waiting; each step ends one and starts another. */
async function measure(size: Size, inFlight: number): Promise<{requests: number; microseconds: number}> {
	const {start} = createScheduler(size);
	const granted: Grant[] = [];
	let next = 0;
	const begin = () => {
		void start().then(grant => granted.push(grant));
	};

	for (let index = 0; index < inFlight; index++) {
		begin();
	}

	await Promise.resolve();
	let startedAt = performance.now();
	let requests = 0;
	for (let step = 0; step < maxRequests + warmUpRequests && performance.now() - startedAt < maxRunMs; step++) {
		if (step === warmUpRequests) {
			startedAt = performance.now();
			requests = 0;
		}

		begin();
		while (next >= granted.length) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		granted[next++]!.settle({outcome: 'ok', serviceMs: 200});
		requests++;
	}

	return {requests, microseconds: (performance.now() - startedAt) * 1000 / requests};
}

/** Time to read the digests of all peers, and to build the own one. */
async function measureDigests(size: Size): Promise<{refresh: number; build: number}> {
	const {start, renewDigests, localDigest} = createScheduler(size);
	// No request waits: waiting ones look at the digests themselves.
	for (let index = 0; index < size.targets / 4; index++) {
		void start().catch(() => undefined);
	}

	let refresh = Number.POSITIVE_INFINITY;
	let build = Number.POSITIVE_INFINITY;
	for (let round = 1; round <= 5; round++) {
		renewDigests(round);
		// Digests are looked at a few times a second.
		await new Promise(resolve => {
			setTimeout(resolve, 250);
		});
		let startedAt = performance.now();
		void start().catch(() => undefined);
		refresh = Math.min(refresh, performance.now() - startedAt);
		startedAt = performance.now();
		localDigest();
		build = Math.min(build, performance.now() - startedAt);
	}

	return {refresh, build};
}

for (const size of sizes) {
	const free = await measure(size, Math.ceil(size.targets * slots / 20));
	const saturated = await measure(size, size.targets * slots);
	const {refresh, build} = await measureDigests(size);
	console.log(JSON.stringify({
		size: size.name,
		teams: size.teams,
		targets: size.targets,
		peers: size.peers,
		seed,
		us_per_request_free: Math.round(free.microseconds * 10) / 10,
		us_per_request_saturated: Math.round(saturated.microseconds * 10) / 10,
		ms_to_read_all_digests: Math.round(refresh * 100) / 100,
		ms_to_build_digest: Math.round(build * 100) / 100,
	}));
}

// Attempts that still wait would keep the process alive until their deadline.
process.exit(0);
