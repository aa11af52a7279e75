import type {
	LoadBurst, LoadKind, LoadService, StageLoad,
} from './stage-load.js';

const zones = ['a', 'b', 'c'];
const slots = {
	slots: 1, queue: 2, callMs: 200, resultTtlMs: 4000,
};
const services: readonly LoadService[] = [
	{
		name: 'ledger', zones: ['a', 'a', 'b', 'c'], limits: {
			...slots, batch: 10, pieceMs: 16.8, resultMemoryMb: 22.5,
		},
	},
	{
		name: 'agenda', zones: ['a', 'b', 'b', 'c'], limits: {
			...slots, batch: 23, pieceMs: 7.46, resultMemoryMb: 3.18,
		},
	},
	{
		name: 'shipping', zones: ['a', 'b', 'c', 'c'], limits: {
			...slots, batch: 59, pieceMs: 2.88, resultMemoryMb: 0.772,
		},
	},
];

const chain = (offset: number) => [
	{
		service: 'ledger', after: [], pieces: 1, resultBytes: 8000,
	},
	{
		service: 'agenda', after: [offset], pieces: 4, resultBytes: 60_000,
	},
	{
		service: 'shipping', after: [offset + 1], pieces: 10, resultBytes: 6000,
	},
];

const kinds: readonly LoadKind[] = [
	{
		name: 'appraisal', requestsPerS: 21, objectiveMs: 2000, deadlineMs: 8000, priority: 0, worth: 4.4, lateWorth: 0.66, engineMs: 200, stages: [{
			service: 'ledger', after: [], pieces: 1.5, share: 0.4, resultBytes: 1_500_000,
		}, ...chain(1)],
	},
	{
		name: 'question', requestsPerS: 24, objectiveMs: 2500, deadlineMs: 6000, priority: 1, worth: 1.1, lateWorth: 0.17, engineMs: 120, stages: chain(0),
	},
	{
		name: 'guidance', requestsPerS: 16, objectiveMs: 1800, deadlineMs: 7200, priority: 2, worth: 0.56, lateWorth: 0.084, engineMs: 60, stages: [{
			service: 'ledger', after: [], pieces: 2.5, share: 0.7, resultBytes: 1_500_000,
		}],
	},
];

const load = (bursts: readonly LoadBurst[], scale = 1): StageLoad => ({
	services, zones, bursts, kinds: kinds.map(kind => ({...kind, requestsPerS: kind.requestsPerS * scale})), groupSize: 3, durationMs: 25_000, seed: 1, crossZoneLatencyMs: 20, failureRate: 0.005,
});

/** Simulated loads by arrival pattern. */
export const stageLoads = {
	usual: load([]),
	overload: load([], 1.6),
	burst_of_the_most_valuable: load([{
		fromMs: 5000, toMs: 11_000, rateFactor: 2.3, kind: 'appraisal',
	}]),
	burst_of_a_cheaper_kind: load([{
		fromMs: 5000, toMs: 11_000, rateFactor: 2.5, kind: 'question',
	}]),
	burst_of_all: load([{fromMs: 5000, toMs: 9000, rateFactor: 1.8}]),
} as const satisfies Record<string, StageLoad>;
