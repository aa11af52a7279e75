import type {LinkMessage} from './link-message.js';
import type {Link} from './link.js';
import type {MeshLinks} from './mesh-links.js';

/**
 * Finds the gateway through which an incarnation in another zone is reached. Each gateway sends the members of its
 * zone to the gateways of other zones when a link is established and whenever the members change.
 *
 * @internal
 */
export class Roster {
	static create(links: MeshLinks): Roster {
		return new Roster(links);
	}

	readonly #membersByLink = new Map<Link, ReadonlyMap<string, string>>();
	readonly #lastSent = new Map<Link, string>();

	private constructor(private readonly links: MeshLinks) {}

	/** Sends the members of this zone to each linked gateway of another zone that was not sent the current list. */
	publish(): void {
		const {self} = this.links;
		const up = this.links.up();
		const members: Array<[string, string]> = [
			[self.name, self.incarnation],
			...up.filter(link => link.peer.zone === self.zone).map((link): [string, string] => [link.peer.name, link.peer.incarnation]),
		];
		members.sort(([a], [b]) => a.localeCompare(b));
		const text = JSON.stringify(members);
		for (const link of up) {
			if (link.peer.zone !== self.zone && this.#lastSent.get(link) !== text && this.links.send(link, {type: 'roster', members})) {
				this.#lastSent.set(link, text);
			}
		}
	}

	receive(link: Link, message: LinkMessage & {type: 'roster'}): void {
		this.#membersByLink.set(link, new Map(message.members.map(([name, incarnation]) => [incarnation, name])));
	}

	/** Returns the link to a gateway of the zone in which the incarnation runs. */
	linkTo(incarnation: string): Link | undefined {
		return [...this.#membersByLink].find(([link, members]) => link.isUp && members.has(incarnation))?.[0];
	}

	linkLost(link: Link): void {
		this.#membersByLink.delete(link);
		this.#lastSent.delete(link);
	}
}
