import type {ConfigEndpoint} from '../config/index.js';
import type {LinkMessage} from './link-message.js';
import type {Link} from './link.js';
import type {MeshLinks} from './mesh-links.js';

/**
 * Offsets of peers, and the transfer of configuration state between entry VMs.
 *
 * @internal
 */
export class ConfigTransfer {
	static create(links: MeshLinks, endpoint: ConfigEndpoint): ConfigTransfer {
		return new ConfigTransfer(links, endpoint);
	}

	readonly #offsets = new Map<string, {link: Link; offset: number}>();

	private constructor(private readonly links: MeshLinks, private readonly endpoint: ConfigEndpoint) {}

	/** Offset that a peer told last; -1 before the first. */
	offsetOf(name: string): number {
		return this.#offsets.get(name)?.offset ?? -1;
	}

	/** A peer's digest named its offset. */
	learn(link: Link, offset: number): void {
		this.#offsets.set(link.peer.name, {link, offset});
		this.endpoint.hintOffset(offset, link.peer.name);
	}

	/** Asks the peer with the highest offset for its state. */
	request(afterOffset: number): void {
		const [best] = [...this.#offsets.values()].filter(({link, offset}) => link.isUp && offset > afterOffset).toSorted((a, b) => b.offset - a.offset);
		if (best) {
			this.links.send(best.link, {type: 'config-request', after: afterOffset});
		}
	}

	receive(link: Link, message: LinkMessage & {type: 'config-request' | 'config-state'}): void {
		if (message.type === 'config-state') {
			this.endpoint.receive(parse(message.state), link.peer.name);
			return;
		}

		const state = this.endpoint.stateAfter(message.after);
		if (state) {
			this.links.send(link, {type: 'config-state', state: JSON.stringify(state)});
		}
	}

	linkLost(link: Link): void {
		if (this.#offsets.get(link.peer.name)?.link === link) {
			this.#offsets.delete(link.peer.name);
		}
	}
}

function parse(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
