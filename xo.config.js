/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['dist/**', 'src/gen/**', 'node_modules/**'],
	},
	{
		files: ['**/*.ts', '**/*.js', '**/*.mjs'],
		rules: {
			// The users' style asks for short customary names such as `req`, `res`, `cfg` and `err`.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// Wire formats and declarations use snake_case keys.
			camelcase: 'off',
			'@stylistic/max-len': 'off',
			// Protocol loops are sequential on purpose.
			'no-await-in-loop': 'off',
			'no-void': ['error', {allowAsStatement: true}],
			'max-params': ['error', 5],
			'max-depth': ['error', 5],
			complexity: ['error', 25],
			'no-bitwise': 'off',
			'unicorn/no-process-exit': 'off',
			'unicorn/prefer-event-target': 'off',
			'unicorn/no-array-reduce': 'off',
			'n/prefer-global/process': 'off',
			'promise/prefer-await-to-then': 'off',
			'capitalized-comments': 'off',
		},
	},
	{
		// Rules that need types apply to TypeScript only: a script is in no project.
		files: ['**/*.ts'],
		rules: {
			// A default branch covers the rest.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			// Private constructors stand behind the static `create` methods.
			'@typescript-eslint/no-empty-function': ['error', {allow: ['private-constructors']}],
			'@typescript-eslint/member-ordering': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/no-loop-func': 'off',
			// Interfaces describe the ports that classes implement.
			'@typescript-eslint/consistent-type-definitions': 'off',
			'@typescript-eslint/class-literal-property-style': 'off',
			// JSON from the wire is checked by zod at the boundary.
			'@typescript-eslint/no-unsafe-assignment': 'off',
			'@typescript-eslint/no-unsafe-call': 'off',
			'@typescript-eslint/no-unsafe-argument': 'off',
			'@typescript-eslint/no-unsafe-return': 'off',
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/parameter-properties': 'off',
			'@typescript-eslint/promise-function-async': 'off',
			'@typescript-eslint/strict-void-return': 'off',
			'@typescript-eslint/prefer-readonly-parameter-types': 'off',
			'@typescript-eslint/no-floating-promises': ['error', {ignoreVoid: true}],
		},
	},
	{
		files: ['**/*.test.ts', 'test/**/*.ts', 'bench/**/*.ts', 'scripts/**'],
		rules: {
			'max-params': 'off',
			'unicorn/no-await-expression-member': 'off',
			'no-console': 'off',
			'n/no-extraneous-import': 'off',
			'import-x/no-extraneous-dependencies': 'off',
		},
	},
];

export default config;
