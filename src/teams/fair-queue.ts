/** One waiting item with its team and estimated work. */
export interface QueuedItem<T> {
	readonly team: string;
	readonly item: T;
}

type Entry<T> = {item: T; order: number};
type TeamQueue<T> = {weight: number; entries: Array<Entry<T>>; startTag: number; inService: number};

/**
 * Start-time fair queueing: one queue per team, and the head of the team with the lowest start tag goes first. The
 * tag grows by work per weight, so backlogged teams get service in proportion to their weights. The work is charged
 * when an item is taken and corrected when its true work is known. Within a team, the lowest `order` goes first.
 *
 * Source: Goyal, Vin, Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
 *
 * @example
 * const queue = FairQueue.create<string>({capacityPerTeam: 100});
 * queue.push('engravers', 'item', {weight: 2});
 * const next = queue.next();
 */
export class FairQueue<T> {
	static create<T>({capacityPerTeam}: {capacityPerTeam: number}): FairQueue<T> {
		return new FairQueue<T>(capacityPerTeam);
	}

	readonly #teams = new Map<string, TeamQueue<T>>();
	/** Teams with waiting items; the search for the next item visits only these. */
	readonly #backlogged = new Map<string, TeamQueue<T>>();
	#virtualTime = 0;
	#size = 0;

	private constructor(private readonly capacityPerTeam: number) {}

	/** Waiting items of all teams. */
	get size(): number {
		return this.#size;
	}

	/** Teams that wait, are in service, or still owe virtual time. */
	get teams(): number {
		return this.#teams.size;
	}

	/** Queues an item of a team before those with a higher `order`; false when the team's queue is full. */
	push(team: string, item: T, {weight, order = 0}: {weight: number; order?: number}): boolean {
		const queue = this.#team(team, weight);
		if (queue.entries.length >= this.capacityPerTeam) {
			return false;
		}

		if (queue.entries.length === 0) {
			// A team that was idle does not save up service.
			queue.startTag = Math.max(queue.startTag, this.#virtualTime);
			this.#backlogged.set(team, queue);
		}

		queue.weight = weight;
		let index = queue.entries.length;
		while (index > 0 && queue.entries[index - 1]!.order > order) {
			index--;
		}

		queue.entries.splice(index, 0, {item, order});
		this.#size++;
		return true;
	}

	/** Head with the lowest start tag among the teams that `isEligible` allows. It stays in its queue. */
	next(isEligible: (team: string) => boolean = () => true): QueuedItem<T> | undefined {
		let best: TeamQueue<T> | undefined;
		let bestTeam = '';
		for (const [team, queue] of this.#backlogged) {
			if ((!best || queue.startTag < best.startTag) && isEligible(team)) {
				best = queue;
				bestTeam = team;
			}
		}

		return best && {team: bestTeam, item: best.entries[0]!.item};
	}

	/** First item of a team. */
	head(team: string): T | undefined {
		return this.#backlogged.get(team)?.entries[0]!.item;
	}

	/** First item of each waiting team. */
	heads(): Array<QueuedItem<T>> {
		return [...this.#backlogged].map(([team, queue]) => ({team, item: queue.entries[0]!.item}));
	}

	/** Removes an item for service and charges its work to the team. */
	take(team: string, item: T, work: number): void {
		const queue = this.#teams.get(team);
		if (!queue || !this.#remove(team, queue, item)) {
			return;
		}

		this.#virtualTime = Math.max(this.#virtualTime, queue.startTag);
		queue.startTag += work / queue.weight;
		queue.inService++;
	}

	/** Corrects the charge of a served item by true minus charged work. */
	settle(team: string, correction: number): void {
		const queue = this.#teams.get(team);
		if (!queue) {
			return;
		}

		queue.startTag += correction / queue.weight;
		queue.inService--;
		this.#forget(team, queue);
	}

	/** Removes an item without service; false when it is not queued. */
	remove(team: string, item: T): boolean {
		const queue = this.#teams.get(team);
		const isRemoved = queue !== undefined && this.#remove(team, queue, item);
		if (isRemoved) {
			this.#forget(team, queue);
		}

		return isRemoved;
	}

	/** Waiting items of one team. */
	waiting(team: string): number {
		return this.#teams.get(team)?.entries.length ?? 0;
	}

	#team(team: string, weight: number): TeamQueue<T> {
		let queue = this.#teams.get(team);
		if (!queue) {
			queue = {
				weight, entries: [], startTag: this.#virtualTime, inService: 0,
			};
			this.#teams.set(team, queue);
		}

		return queue;
	}

	#remove(team: string, queue: TeamQueue<T>, item: T): boolean {
		const index = queue.entries.findIndex(entry => entry.item === item);
		if (index === -1) {
			return false;
		}

		queue.entries.splice(index, 1);
		this.#size--;
		if (queue.entries.length === 0) {
			this.#backlogged.delete(team);
		}

		return true;
	}

	/** Drops a team that would start at the present virtual time anyway. */
	#forget(team: string, queue: TeamQueue<T>): void {
		if (queue.entries.length === 0 && queue.inService === 0 && queue.startTag <= this.#virtualTime) {
			this.#teams.delete(team);
		}
	}
}
