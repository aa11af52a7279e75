// Parts of libraries that the program never uses, but that are loaded with the libraries: they took a third of the time
// to load it. Where a library no longer has them, this has no effect.

/** What the index of undici loads beside `request`, `Client`, `Pool` and `buildConnector`. */
const undiciParts = /^\.\/lib\/(?:web|mock|interceptor|cache)\//;
const leftOut = 'left-out';

/** Plugin of the bundler that replaces these modules. What they export can only be referred to. */
export const leftOutModules = {
	name: 'left-out-modules',
	setup(bundler) {
		bundler.onResolve({filter: undiciParts}, ({path, importer}) => /\/undici\/index\.js$/u.test(importer) ? {path, namespace: leftOut} : undefined);
		bundler.onLoad({filter: /./, namespace: leftOut}, () => ({contents: 'module.exports = new Proxy({}, {get: () => class LeftOut {}});'}));
		// Messages of zod in 50 languages.
		bundler.onLoad({filter: /\/zod\/v4\/locales\/index\.js$/}, () => ({contents: 'export {default as en} from \'./en.js\';'}));
	},
};
