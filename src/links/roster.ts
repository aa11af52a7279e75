import type {LinkMessage} from './link-message.js';
import type {Link} from './link.js';
import type {MeshLinks} from './mesh-links.js';

/**
 * Incarnations of other zones, as their gateways tell them. A gateway tells its zone's members to the gateways of
 * other zones when a link comes up and whenever they change.
 *
 * @internal
 */
export class Roster {
	static create(links: MeshLinks): Roster {
		return new Roster(links);
	}

	readonly #byLink = new Map<Link, ReadonlyMap<string, string>>();
	readonly #told = new Map<Link, string>();

	private constructor(private readonly links: MeshLinks) {}

	/** Tells other zones what has changed. */
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
			if (link.peer.zone !== self.zone && this.#told.get(link) !== text && this.links.send(link, {type: 'roster', members})) {
				this.#told.set(link, text);
			}
		}
	}

	receive(link: Link, message: LinkMessage & {type: 'roster'}): void {
		this.#byLink.set(link, new Map(message.members.map(([name, incarnation]) => [incarnation, name])));
	}

	/** Link to a gateway of the zone in which the incarnation runs. */
	linkTo(incarnation: string): Link | undefined {
		return [...this.#byLink].find(([link, members]) => link.isUp && members.has(incarnation))?.[0];
	}

	linkLost(link: Link): void {
		this.#byLink.delete(link);
		this.#told.delete(link);
	}
}
