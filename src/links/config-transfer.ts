import type {Clock, Ms} from '../clock/index.js';
import type {ConfigExchange, ConfigState, ConfigStateSource} from './config-exchange.js';
import type {LinkMessage} from './link-message.js';
import type {Link} from './link.js';
import type {MeshLinks} from './mesh-links.js';
import {PendingReplies} from './pending-replies.js';

/**
 * Offsets of peers, and the transfer of configuration state between entry VMs.
 *
 * @internal
 */
export class ConfigTransfer implements ConfigStateSource {
	static create(options: {clock: Clock; links: MeshLinks; exchange: ConfigExchange}): ConfigTransfer {
		return new ConfigTransfer(options.links, options.exchange, PendingReplies.create(options.clock));
	}

	readonly #offsets = new Map<Link, number>();
	#highest = -1;

	private constructor(private readonly links: MeshLinks, private readonly exchange: ConfigExchange, private readonly replies: PendingReplies<ConfigState>) {}

	/** A peer's digest named its offset. */
	learn(link: Link, offset: number): void {
		this.#offsets.set(link, offset);
		if (offset > this.#highest && offset > this.exchange.offset()) {
			this.#highest = offset;
			this.exchange.onPeerOffset(offset);
		}
	}

	async fetchConfigState(above: number, timeoutMs: Ms): Promise<ConfigState | undefined> {
		const [best] = [...this.#offsets].filter(([link, offset]) => link.isUp && offset > above).toSorted((a, b) => b[1] - a[1]);
		if (!best) {
			return undefined;
		}

		const [link] = best;
		const reply = await this.replies.request(link, timeoutMs, id => this.links.send(link, {type: 'config-request', id}));
		return typeof reply === 'string' || reply.offset <= above ? undefined : reply;
	}

	receive(link: Link, message: LinkMessage & {type: 'config-request' | 'config-state'}): void {
		if (message.type === 'config-state') {
			this.replies.reply(link, message.id, {offset: message.offset, state: parse(message.state)});
			return;
		}

		const held = this.exchange.state();
		this.links.send(link, {
			type: 'config-state', id: message.id, offset: held?.offset ?? -1, state: JSON.stringify(held?.state ?? null),
		});
	}

	linkLost(link: Link): void {
		this.#offsets.delete(link);
		this.replies.linkLost(link);
	}
}

function parse(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
