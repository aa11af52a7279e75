import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['src/**/*.test.ts', 'platform/**/*.test.ts', 'test/**/*.test.ts'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		maxWorkers: 4,
	},
});
