import {ServicePace} from '../admission/index.js';
import type {Listen} from '../http/index.js';
import {RequestRetry} from '../pools/index.js';
import {Random} from '../random/index.js';
import type {RelayTarget} from '../registry/index.js';
import {
	CrashWatch, EndCheck, RouteDurations, TargetPools, TurnBudget, type RelayServerOptions,
} from '../relay/index.js';
import {ResultRetention} from '../retention/index.js';
import {nameStart} from './name-start.js';
import type {RelayVmParts} from './relay-vm-parts.js';

/** Returns the options of the server for callers, which binds its address by `bind`. */
export function createServerOptions(parts: RelayVmParts, bind: Listen): RelayServerOptions {
	const {options} = parts;
	const {clock, createLogger} = options;
	const probe = async (target: RelayTarget) => parts.probes.probe(target);
	const isClosing = () => parts.lifecycle.state !== 'serving' && parts.lifecycle.state !== 'starting';
	return {
		listen: options.callers,
		bind,
		table: () => parts.topics.isQuarantineKnown ? parts.topics.table : undefined,
		isRejecting: () => clock.now() >= (parts.drain.schedule?.acceptUntilMs ?? Infinity),
		context: {
			clock,
			random: Random.create(options.seed),
			logger: createLogger('requests'),
			metrics: parts.metrics,
			codec: options.codec,
			registry: parts.registry,
			placement: parts.placement,
			pools: parts.pools,
			peerPools: TargetPools.create(),
			liveness: parts.liveness,
			memory: parts.responseMemory,
			requestMemory: parts.requestMemory,
			turnBudget: TurnBudget.create({clock}),
			stages: parts.stages,
			retention: ResultRetention.create({
				clock,
				logger: createLogger('requests'),
				targetCount: service => parts.registry.targetsOf(service).length,
				entryVms: () => parts.retryBudgets.entryVms(clock.now()),
				onUse(use) {
					parts.metrics.recordStageResults(use);
				},
			}),
			prefixCache: parts.prefixCache,
			prompts: parts.prompts,
			zone: options.self.zone,
			distance: zone => parts.distance(zone),
			rank: (key, names) => parts.ranks.of(key, names),
			retryBudget: service => parts.retryBudgets.of(service),
			createRetry: service => RequestRetry.create({
				clock, service, budget: parts.retryBudgets.of(service), loans: parts.retryLoans,
			}),
			probe,
			endCheck: EndCheck.create({
				clock,
				logger: createLogger('requests'),
				pools: parts.pools,
				ask: options.askWhetherRunning,
				current: id => parts.registry.get(id),
				mayAsk: target => parts.probes.mayAsk(target),
				confirmCutOff: async (maxMs, signal) => parts.reach.confirmCutOff(maxMs, signal),
				onVerdict(isEnd) {
					parts.metrics.recordUndeclaredEnd(isEnd);
				},
			}),
			crashWatch: CrashWatch.create({
				clock,
				logger: createLogger('targets'),
				probe,
				onCrash({target, attempts}) {
					parts.metrics.recordCrash();
					parts.quarantine.crashed(nameStart(target), attempts);
				},
			}),
			limits: parts.targetLimits,
			holds: parts.holds,
			brittle: parts.brittle,
			coldTargets: parts.coldTargets,
			drainingReports: parts.drainingReports,
			reach: parts.reach,
			quarantine: parts.quarantine,
			durations: {requests: RouteDurations.create(), attempts: RouteDurations.create()},
			servicePace: ServicePace.create(),
			shutdown: () => parts.drain.schedule,
			isClosing,
			targetsAgeMs: () => parts.topics.targetsAgeMs,
		},
	};
}
