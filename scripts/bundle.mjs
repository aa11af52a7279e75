// Bundles the program that runs on the platform into one file: loading several hundred modules one by one takes most of
// the processor time of a start, which a small VM notices.
import process from 'node:process';
import {build} from 'esbuild';

const outfile = process.argv[2] ?? 'target/relay.mjs';

await build({
	entryPoints: ['platform/main.ts'],
	outfile,
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	// Some libraries are CommonJS modules that call `require` for modules of Node.js.
	banner: {js: 'import {createRequire as createBundleRequire} from \'node:module\';\nconst require = createBundleRequire(import.meta.url);'},
});
