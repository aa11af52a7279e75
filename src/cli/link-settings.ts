import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {FindingsError, type Finding} from '../errors/index.js';
import type {ListenAddress} from '../http/index.js';
import {
	LinkKey, minLinkKeyBytes, type LinkSettings, type PeerAddress,
} from '../links/index.js';
import {listenAddressSchema, nameSchema, textSchema} from '../settings/index.js';

const peersSchema = z.string().transform((text, context): PeerAddress[] => text.split(',').filter(item => item !== '').flatMap(item => {
	const at = item.indexOf('@');
	const name = nameSchema.safeParse(item.slice(0, Math.max(0, at)));
	const address = listenAddressSchema.safeParse(item.slice(at + 1));
	if (!name.success || !address.success) {
		context.issues.push({code: 'custom', message: `contains ${item}, which is not name@IP:port`, input: text});
		return [];
	}

	return [{name: name.data, address: address.data}];
}));

const optionalAddressSchema = z.string().transform((text, context): ListenAddress | undefined => {
	if (text === '') {
		return undefined;
	}

	const address = listenAddressSchema.safeParse(text);
	if (!address.success) {
		context.issues.push({code: 'custom', message: 'is not an IP address with a port (IP:port)', input: text});
		return z.NEVER;
	}

	return address.data;
});

/** Link settings of `guavamill serve`. */
export const linkSettings = {
	links: {
		flag: 'links', help: 'Address to listen on for links from other entry VMs, IP:port; no listener when empty.', fallback: '', schema: optionalAddressSchema,
	},
	peers: {
		flag: 'peers', help: 'Entry VMs to link with in addition to those in the VM list: name@IP:port,…', fallback: '', schema: peersSchema,
	},
	// The schema accepts any text, because a finding of a schema would print the key. `readLinkSettings` checks the length.
	linkKey: {
		flag: 'link-key', help: `Shared key of all entry VMs, at least ${minLinkKeyBytes} bytes; preferably set through the variable.`, fallback: '', schema: textSchema,
	},
};

/**
 * Validates the link settings together. Returns `undefined` when links are not configured. Throws a `FindingsError` when
 * the key is missing or too short.
 *
 * @internal
 */
export function readLinkSettings(settings: {links: ListenAddress | undefined; peers: PeerAddress[]; linkKey: string}): LinkSettings | undefined {
	const {links, peers, linkKey} = settings;
	const finding = checkLinkKey(linkKey, links !== undefined || peers.length > 0);
	if (finding) {
		throw FindingsError.create('use the settings', [finding]);
	}

	return linkKey === '' ? undefined : {key: LinkKey.create(linkKey), listen: links, peers};
}

function checkLinkKey(linkKey: string, isRequired: boolean): Finding | undefined {
	const place = '--link-key or GUAVAMILL_LINK_KEY';
	if (linkKey === '') {
		return isRequired ? {place, message: 'is missing; it is required for --links and --peers'} : undefined;
	}

	return Buffer.byteLength(linkKey) < minLinkKeyBytes ? {place, message: `has fewer than ${minLinkKeyBytes} bytes`} : undefined;
}
