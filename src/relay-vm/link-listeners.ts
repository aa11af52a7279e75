import type {Clock} from '../clock/index.js';
import type {BrittleTargets, ColdTargets, TargetLimits} from '../limits/index.js';
import type {Link, LinkMessage} from '../links/index.js';
import type {
	MeshStageRunner, RetryBudgets, RetryLoans, StageMessage,
} from '../pools/index.js';
import type {PromptExchange} from '../prompts/index.js';
import type {PromptQuarantine} from '../quarantine/index.js';
import type {ReachMessage, ReachWatch} from '../reach/index.js';
import type {DrainingReports, RelayTarget} from '../registry/index.js';
import type {StoreTopics} from './store-topics.js';

/** Parts of an entry VM that exchange messages with its peers. */
export interface LinkListenersOptions {
	readonly clock: Clock;
	readonly quarantine: Pick<PromptQuarantine, 'receive' | 'linkUp'>;
	readonly targetLimits: Pick<TargetLimits, 'receive' | 'linkUp' | 'linkLost'>;
	readonly brittle: Pick<BrittleTargets, 'receive' | 'linkUp' | 'linkLost'>;
	readonly coldTargets: Pick<ColdTargets, 'receive' | 'linkUp' | 'linkLost'>;
	readonly drainingReports: Pick<DrainingReports, 'receive' | 'linkUp'>;
	readonly promptExchange: Pick<PromptExchange, 'receive' | 'linkUp' | 'linkLost'>;
	readonly reach: Pick<ReachWatch<RelayTarget>, 'receive' | 'linkLost'>;
	readonly retryBudgets: Pick<RetryBudgets, 'borrow' | 'takeBack' | 'giveBack'>;
	readonly retryLoans: Pick<RetryLoans, 'receive' | 'linkLost'>;
	readonly stages: Pick<MeshStageRunner, 'receive' | 'handOver' | 'linkLost'>;
	readonly topics: Pick<StoreTopics, 'receive' | 'linkLost'>;
}

/**
 * Passes messages of peers, and news of links, to the parts of an entry VM that they are for.
 *
 * @example
 * listeners.receive(link, message);
 */
export class LinkListeners {
	static create(options: LinkListenersOptions): LinkListeners {
		return new LinkListeners(options);
	}

	private constructor(private readonly options: LinkListenersOptions) {}

	/** Handles a message; one of a type that no part takes is ignored. */
	receive(link: Link, message: LinkMessage): void {
		if (this.#receiveAboutTargets(link, message)) {
			return;
		}

		const {clock, reach, retryBudgets, retryLoans, stages, topics} = this.options;
		switch (message.type) {
			case 'reach-request':
			case 'reach-reply':
			case 'reach-zone': {
				reach.receive(link, message satisfies ReachMessage);

				break;
			}

			case 'share-loan': {
				retryBudgets.borrow(link.peer.incarnation, clock.now(), message.spent);

				break;
			}

			case 'retry-request':
			case 'retry-loan-request':
			case 'retry-loan':
			case 'retry-loan-return': {
				retryLoans.receive(link, message);

				break;
			}

			case 'share-return': {
				retryBudgets.takeBack(link.peer.incarnation, {spent: message.spent, now: clock.now()});

				break;
			}

			case 'standby': {
				// The plans that wait here go on at the leader that has come back.
				if (!message.isOn) {
					stages.handOver();
				}

				break;
			}

			case 'topic-news': {
				topics.receive(link, message);

				break;
			}

			default: {if (message.type.startsWith('stage-')) {
				stages.receive(link, message as StageMessage);
			}
			}
		}
	}

	/** Handles a new link. */
	linkUp(link: Link): void {
		const {quarantine, targetLimits, brittle, coldTargets, drainingReports, promptExchange} = this.options;
		quarantine.linkUp(link);
		targetLimits.linkUp(link);
		brittle.linkUp(link);
		coldTargets.linkUp(link);
		drainingReports.linkUp(link);
		promptExchange.linkUp();
	}

	/** Handles the loss of a link. */
	linkLost(link: Link): void {
		const {retryBudgets, retryLoans, stages, topics, targetLimits, brittle, coldTargets, reach, promptExchange} = this.options;
		retryBudgets.giveBack(link.peer.incarnation);
		retryLoans.linkLost(link);
		stages.linkLost(link);
		topics.linkLost(link);
		targetLimits.linkLost(link);
		brittle.linkLost(link);
		coldTargets.linkLost(link);
		reach.linkLost(link);
		promptExchange.linkLost(link);
	}

	/** Handles a message about targets or the work at them; returns false for another one. */
	#receiveAboutTargets(link: Link, message: LinkMessage): boolean {
		const {quarantine, targetLimits, brittle, coldTargets, drainingReports, promptExchange} = this.options;
		switch (message.type) {
			case 'prompt-suspicions': {
				quarantine.receive(link, message);

				break;
			}

			case 'target-limit':
			case 'limit-request':
			case 'limit-reply': {
				targetLimits.receive(link, message);

				break;
			}

			case 'target-cold':
			case 'permit-request':
			case 'permit-reply':
			case 'permit-vote-request':
			case 'permit-vote': {
				coldTargets.receive(link, message);

				break;
			}

			case 'service-brittle':
			case 'slot-request':
			case 'slot-reply':
			case 'slot-release': {
				brittle.receive(link, message);

				break;
			}

			case 'target-draining': {
				drainingReports.receive(link, message);

				break;
			}

			case 'prompt-work': {
				promptExchange.receive(link, message);

				break;
			}

			default: {
				return false;
			}
		}

		return true;
	}
}
