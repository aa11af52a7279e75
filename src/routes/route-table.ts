import type {RelayDeclarations, Route, TeamDeclaration} from './relay-declarations.js';

/**
 * Finds routes by host and longest path prefix, and teams by key.
 *
 * @example
 * const table = RouteTable.create(declarations);
 * table.route('desk.example', '/orders/7');
 */
export class RouteTable {
	static create(declarations: RelayDeclarations): RouteTable {
		return new RouteTable(declarations);
	}

	readonly #byHost = new Map<string, Route[]>();
	readonly #teams = new Map<string, TeamDeclaration>();

	private constructor(readonly declarations: RelayDeclarations) {
		for (const route of declarations.routes) {
			const host = route.host.toLowerCase();
			this.#byHost.set(host, [...this.#byHost.get(host) ?? [], route]);
		}

		for (const routes of this.#byHost.values()) {
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}

		for (const team of declarations.teams) {
			for (const key of team.keys) {
				this.#teams.set(key, team);
			}
		}
	}

	/** Version of the configuration. */
	get version(): number {
		return this.declarations.version;
	}

	/** True if the configuration declares teams, so that routes that are not public require a team key. */
	get hasTeams(): boolean {
		return this.declarations.teams.length > 0;
	}

	/** Returns the route with the longest matching path prefix. `host` may include a port and `path` a query. */
	route(host: string, path: string): Route | undefined {
		const name = host.toLowerCase().replace(/:\d+$/, '');
		const plainPath = path.split('?', 1)[0]!;
		return this.#byHost.get(name)?.find(route => plainPath.startsWith(route.pathPrefix));
	}

	/** Returns the team with the given key. */
	team(key: string | undefined): TeamDeclaration | undefined {
		return key === undefined ? undefined : this.#teams.get(key);
	}
}
