import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {FindingsError, type Finding} from '../errors/index.js';
import type {ListenAddress} from '../http/index.js';
import {
	LinkKey, minLinkKeyBytes, type LinkSettings, type PeerAddress,
} from '../links/index.js';
import {listenAddressSchema, nameSchema, textSchema} from '../settings/index.js';

const peersSchema = z.string().transform((text, context): PeerAddress[] => text.split(',').filter(part => part !== '').flatMap(part => {
	const at = part.indexOf('@');
	const name = nameSchema.safeParse(part.slice(0, Math.max(0, at)));
	const address = listenAddressSchema.safeParse(part.slice(at + 1));
	if (!name.success || !address.success) {
		context.issues.push({code: 'custom', message: `holds ${part}, which is not name@IP:port`, input: text});
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
		context.issues.push({code: 'custom', message: 'is not an IP number with a port', input: text});
		return z.NEVER;
	}

	return address.data;
});

/** Settings of the links of `guavamill serve`. */
export const linkSettings = {
	links: {
		flag: 'links', help: 'Address for other entry VMs, IP:port; none without it.', fallback: '', schema: optionalAddressSchema,
	},
	peers: {
		flag: 'peers', help: 'Other entry VMs besides those of the VM list: name@IP:port,…', fallback: '', schema: peersSchema,
	},
	// Any text passes here, since a finding of the settings shows the value; readLinkSettings checks the length.
	linkKey: {
		flag: 'link-key', help: `Shared key of all entry VMs, at least ${minLinkKeyBytes} bytes; better given as variable.`, fallback: '', schema: textSchema,
	},
};

/**
 * Checks the settings of links together; `undefined` when there are none. Throws `FindingsError` without the key.
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
		return isRequired ? {place, message: 'is missing; --links and --peers need it'} : undefined;
	}

	return Buffer.byteLength(linkKey) < minLinkKeyBytes ? {place, message: `has fewer than ${minLinkKeyBytes} bytes`} : undefined;
}
