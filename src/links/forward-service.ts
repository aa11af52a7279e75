import {randomUUID} from 'node:crypto';
import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {RequestForwarder, RequestResult, RequestRunner} from '../requests/index.js';
import type {LinkMessage} from './link-message.js';
import type {Link} from './link.js';
import type {MeshLinks} from './mesh-links.js';
import {PendingReplies} from './pending-replies.js';
import type {Roster} from './roster.js';

/** The longest route passes a gateway of this zone and a gateway of the other zone. */
const maxRelays = 2;

type Reply = {result: string | undefined};

/**
 * Forwards requests to the incarnation that minted their idempotency key, and runs requests forwarded to this one. A
 * request is sent at most once; if no reply arrives, its outcome is `unknown`.
 *
 * @internal
 */
export class ForwardService implements RequestForwarder {
	static create(options: {clock: Clock; links: MeshLinks; roster: Roster; runner: Pick<RequestRunner, 'run'>}): ForwardService {
		return new ForwardService(options.clock, options.links, options.roster, options.runner);
	}

	readonly #replies: PendingReplies<Reply>;

	private constructor(private readonly clock: Clock, private readonly links: MeshLinks, private readonly roster: Roster, private readonly runner: Pick<RequestRunner, 'run'>) {
		this.#replies = PendingReplies.create(clock);
	}

	async forward(pipeline: string, body: unknown, incarnation: string, deadlineMs: Ms, requestId: string = randomUUID()): Promise<RequestResult | 'gone'> {
		const route = this.#route(incarnation, maxRelays);
		if (!route) {
			return 'gone';
		}

		const remainingMs = deadlineMs - this.clock.now();
		const reply = await this.#send(route, {
			requestId, to: incarnation, pipeline, body: JSON.stringify(body), remainingMs,
		});
		if (typeof reply === 'string') {
			return unknownOutcome(`Cannot tell the outcome: the request was forwarded to incarnation ${incarnation} and no reply arrived (${reply})`);
		}

		return reply.result === undefined ? 'gone' : readResult(reply.result);
	}

	async receive(link: Link, message: LinkMessage & {type: 'forward' | 'forward-reply'}): Promise<void> {
		if (message.type === 'forward-reply') {
			this.#replies.reply(link, message.id, {result: message.result});
			return;
		}

		const result = message.to === this.links.self.incarnation ? await this.#run(message) : await this.#relay(message);
		this.links.send(link, {type: 'forward-reply', id: message.id, ...(result === undefined ? {} : {result})});
	}

	linkLost(link: Link): void {
		this.#replies.linkLost(link);
	}

	async #run(message: LinkMessage & {type: 'forward'}): Promise<string> {
		let body: Record<string, unknown>;
		try {
			body = JSON.parse(message.body) as Record<string, unknown>;
		} catch (err) {
			return JSON.stringify(unknownOutcome(`Cannot read the forwarded request: ${errorMessage(err)}`));
		}

		const deadlineMs = Math.max(1, message.remainingMs);
		return JSON.stringify(await this.runner.run(message.pipeline, {...body, deadline_ms: deadlineMs, stream: false}, {requestId: message.requestId}));
	}

	/** Relays a request towards its incarnation; returns `undefined` when there is no route. */
	async #relay(message: LinkMessage & {type: 'forward'}): Promise<string | undefined> {
		const route = message.hops > 0 ? this.#route(message.to, message.hops - 1) : undefined;
		if (!route) {
			return undefined;
		}

		const reply = await this.#send(route, message);
		return typeof reply === 'string'
			? JSON.stringify(unknownOutcome(`Cannot tell the outcome: the request was relayed to incarnation ${message.to} and no reply arrived (${reply})`))
			: reply.result;
	}

	async #send(route: Route, request: ForwardedRequest): Promise<Reply | string> {
		const {requestId, to, pipeline, body, remainingMs} = request;
		return this.#replies.request(route.link, Math.max(0, remainingMs), id => this.links.send(route.link, {
			type: 'forward', id, requestId, to, pipeline, body, remainingMs, hops: route.remainingRelays,
		}));
	}

	/**
	 * Finds the next hop: the direct link, else a gateway of the other zone, else a gateway of this zone.
	 * `remainingRelays` is the number of times that the request may still be relayed after this hop.
	 */
	#route(incarnation: string, remainingRelays: number): Route | undefined {
		const direct = this.links.byIncarnation(incarnation);
		if (direct) {
			return {link: direct, remainingRelays: 0};
		}

		const remote = this.roster.linkTo(incarnation);
		if (remote && remainingRelays >= 0) {
			// Only the gateway of the other zone may relay the request again.
			return {link: remote, remainingRelays: Math.min(1, remainingRelays)};
		}

		const {membership, self} = this.links;
		// Only the first sender may use a gateway of its own zone, so that requests do not loop.
		if (remainingRelays < maxRelays || membership.isGateway) {
			return undefined;
		}

		const gateway = membership.gateways(self.zone).map(name => this.links.byName(name)).find(link => link !== undefined);
		return gateway && {link: gateway, remainingRelays};
	}
}

type ForwardedRequest = {requestId: string; to: string; pipeline: string; body: string; remainingMs: Ms};
type Route = {link: Link; remainingRelays: number};

function unknownOutcome(message: string): RequestResult {
	return {
		request_id: '', outcome: 'unknown', reason: 'claimer_unknown', message,
	};
}

function readResult(text: string): RequestResult {
	try {
		return JSON.parse(text) as RequestResult;
	} catch {
		return unknownOutcome('Cannot tell the outcome: the reply to the forwarded request is malformed');
	}
}
