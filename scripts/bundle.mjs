// Bundles the program that runs on the platform: loading several hundred modules one by one takes most of the processor
// time of a start, which a small VM notices. The given file is the entry; it holds signals and then loads the program
// itself, which stands beside it as NAME-main.
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const {dir, name, ext} = path.parse(process.argv[2] ?? 'target/relay.mjs');
const mainFile = `${name}-main${ext}`;
const options = {
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
};

await build({
	...options,
	entryPoints: ['platform/main.ts'],
	outfile: path.join(dir, mainFile),
	// Some libraries are CommonJS modules that call `require` for modules of Node.js.
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\';\nconst require = createBundleRequire(import.meta.url);'},
});
// Written last: an entry stands for a whole program.
await build({
	...options,
	entryPoints: ['platform/bootstrap.ts'],
	outfile: path.join(dir, `${name}${ext}`),
	plugins: [{
		name: 'main-beside-entry',
		setup(bundler) {
			bundler.onResolve({filter: /^\.\/main\.js$/}, () => ({path: `./${mainFile}`, external: true}));
		},
	}],
});
