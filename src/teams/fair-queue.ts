/** A queued item with its team. */
export interface QueuedItem<T> {
	readonly team: string;
	readonly item: T;
}

type Entry<T> = {item: T; order: number};
type TeamQueue<T> = {weight: number; entries: Array<Entry<T>>; startTag: number; inService: number};

/**
 * Start-time fair queue: one queue per team; the head of the team with the lowest start tag is served first. Serving an
 * item advances the team's tag by work divided by weight, so backlogged teams are served in proportion to their weights.
 * The estimated work is charged when an item is taken and corrected when the item completes. Items of one team are
 * served by ascending `order`.
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
	/** Teams with queued items; the search for the next item visits only these. */
	readonly #backlogged = new Map<string, TeamQueue<T>>();
	#virtualTime = 0;
	#size = 0;

	private constructor(private readonly capacityPerTeam: number) {}

	/** Number of queued items of all teams. */
	get size(): number {
		return this.#size;
	}

	/** Number of teams that have items queued or in service, or whose start tag is ahead of virtual time. */
	get teams(): number {
		return this.#teams.size;
	}

	/** Inserts an item before those of its team with a higher `order`; returns false when the team's queue is full. */
	push(team: string, item: T, {weight, order = 0}: {weight: number; order?: number}): boolean {
		const queue = this.#team(team, weight);
		if (queue.entries.length >= this.capacityPerTeam) {
			return false;
		}

		if (queue.entries.length === 0) {
			// An idle team accumulates no credit.
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

	/** Returns the head with the lowest start tag among the teams that `isEligible` accepts, without removing it. */
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

	/** First queued item of a team. */
	head(team: string): T | undefined {
		return this.#backlogged.get(team)?.entries[0]!.item;
	}

	/** First queued item of each team. */
	heads(): Array<QueuedItem<T>> {
		return [...this.#backlogged].map(([team, queue]) => ({team, item: queue.entries[0]!.item}));
	}

	/** Removes an item for service and charges its estimated work to the team. */
	take(team: string, item: T, work: number): void {
		const queue = this.#teams.get(team);
		if (!queue || !this.#remove(team, queue, item)) {
			return;
		}

		this.#virtualTime = Math.max(this.#virtualTime, queue.startTag);
		queue.startTag += work / queue.weight;
		queue.inService++;
	}

	/** Ends the service of an item; `correction` is its actual work minus the charged work. */
	complete(team: string, correction: number): void {
		const queue = this.#teams.get(team);
		if (!queue) {
			return;
		}

		queue.startTag += correction / queue.weight;
		queue.inService--;
		this.#removeIfIdle(team, queue);
	}

	/** Removes an item without serving it; returns false when it is not queued. */
	remove(team: string, item: T): boolean {
		const queue = this.#teams.get(team);
		const isRemoved = queue !== undefined && this.#remove(team, queue, item);
		if (isRemoved) {
			this.#removeIfIdle(team, queue);
		}

		return isRemoved;
	}

	/** Number of queued items of one team. */
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

	/** Removes an idle team whose start tag is not ahead of virtual time; its state would not affect its next start tag. */
	#removeIfIdle(team: string, queue: TeamQueue<T>): void {
		if (queue.entries.length === 0 && queue.inService === 0 && queue.startTag <= this.#virtualTime) {
			this.#teams.delete(team);
		}
	}
}
