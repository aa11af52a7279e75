import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import type {RequestResult} from '../requests/index.js';
import {ForwardService} from './forward-service.js';
import type {LinkMessage} from './link-message.js';
import type {Link} from './link.js';
import type {MeshLinks} from './mesh-links.js';
import {Roster} from './roster.js';

const clock = ManualClock.create();

/** Creates the chain riga-1, riga-2 (gateway), limon-1 (gateway), limon-2, each node linked only to its neighbours. */
function chain() {
	const names = ['riga-1', 'riga-2', 'limon-1', 'limon-2'];
	const runs: string[] = [];
	const sent: LinkMessage[] = [];
	const nodes = names.map((name, index) => {
		const links = [index - 1, index + 1].filter(other => names[other] !== undefined).map(other => ({
			isUp: true, other, peer: {name: names[other]!, zone: names[other]!.slice(0, -2), incarnation: `i-${names[other]!}`},
		}));
		const isGateway = index === 1 || index === 2;
		const mesh = {
			self: {name, zone: name.slice(0, -2), incarnation: `i-${name}`},
			membership: {isGateway, gateways: (zone: string) => [zone === 'riga' ? 'riga-2' : 'limon-1']},
			up: () => links,
			byName: (other: string) => links.find(link => link.peer.name === other),
			byIncarnation: (incarnation: string) => links.find(link => link.peer.incarnation === incarnation),
			time: () => undefined,
			send(link: {other: number}, message: LinkMessage) {
				sent.push(message);
				const target = nodes[link.other]!;
				const back = target.links.find(other => other.other === index) as unknown as Link;
				if (message.type === 'roster') {
					target.roster.receive(back, message);
				} else if (message.type === 'forward' || message.type === 'forward-reply') {
					void target.service.receive(back, message);
				}

				return true;
			},
		} as unknown as MeshLinks;
		const roster = Roster.create(mesh);
		const service = ForwardService.create({
			clock,
			links: mesh,
			roster,
			runner: {
				async run(pipeline, _body, options): Promise<RequestResult> {
					runs.push(`${name} ${pipeline} ${options!.requestId}`);
					return {
						request_id: 'r', outcome: 'done', answer: name, chunks: 1, stages: [],
					};
				},
			},
		});
		return {
			name, links, roster, service,
		};
	});
	for (const {roster} of nodes) {
		roster.publish();
	}

	return {nodes, runs, sent};
}

const forward = async (service: ForwardService, incarnation: string) => service.forward('advice', {}, incarnation, clock.now() + 1000, 'r1');

// Guards against a request that does not reach its incarnation over gateways, or that a node on the route runs.
test.each([[0, 'riga-2', 1], [0, 'limon-1', 2], [0, 'limon-2', 3], [1, 'limon-2', 2], [3, 'riga-1', 3]])('from node %i a request reaches %s over %i links and runs only there', async (from, to, linkCount) => {
	const {nodes, runs, sent} = chain();
	expect(await forward(nodes[from]!.service, `i-${to}`)).toMatchObject({outcome: 'done', answer: to});
	expect(runs).toEqual([`${to} advice r1`]);
	expect(sent.filter(message => message.type === 'forward')).toHaveLength(linkCount);
});

// Guards against a request that loops or runs elsewhere when its incarnation is gone.
test('a request for an unknown incarnation is gone and runs nowhere', async () => {
	const {nodes, runs, sent} = chain();
	expect(await forward(nodes[0]!.service, 'i-none')).toBe('gone');
	expect(runs).toEqual([]);
	expect(sent.filter(message => message.type === 'forward')).toHaveLength(1);
});

// Guards against resending a request, or reporting it as not run, when the link is lost after the request was sent.
test('a link lost after the send leaves the outcome unknown', async () => {
	const {nodes, runs} = chain();
	nodes[1]!.service.receive = async () => undefined;
	const pending = forward(nodes[0]!.service, 'i-riga-2');
	nodes[0]!.service.linkLost(nodes[0]!.links[0] as unknown as Link);
	expect(await pending).toMatchObject({outcome: 'unknown', reason: 'claimer_unknown'});
	expect(runs).toEqual([]);
});
