import type {ConfigEndpoint} from '../config/index.js';
import type {LinkMessage} from './link-message.js';
import type {Link} from './link.js';
import type {MeshLinks} from './mesh-links.js';

/**
 * Tracks the configuration offsets of peers, and transfers configuration states between entry VMs.
 *
 * @internal
 */
export class ConfigTransfer {
	static create(links: MeshLinks, endpoint: ConfigEndpoint): ConfigTransfer {
		return new ConfigTransfer(links, endpoint);
	}

	readonly #offsets = new Map<string, {link: Link; offset: number}>();

	private constructor(private readonly links: MeshLinks, private readonly endpoint: ConfigEndpoint) {}

	/** Returns the offset last reported by a peer; -1 before the first report. */
	offsetOf(name: string): number {
		return this.#offsets.get(name)?.offset ?? -1;
	}

	/** Records the offset reported in a peer's digest. */
	updateOffset(link: Link, offset: number): void {
		this.#offsets.set(link.peer.name, {link, offset});
		this.endpoint.hintOffset(offset, link.peer.name);
	}

	/** Requests the state from the linked peer with the highest offset, if that is higher than `afterOffset`. */
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
