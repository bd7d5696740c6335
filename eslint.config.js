import js from '@eslint/js';
import tseslint from 'typescript-eslint';

/** Folders that `core` must not import: the core is pure, see docs/design/01-architecture.md. */
const OUTSIDE_CORE = ['runtime', 'simulation', 'standins', 'cli', 'settings', 'reports'];

export default tseslint.config(
  {
    ignores: [
      'dist/**',
      'target/**',
      'journal/**',
      'node_modules/**',
      'out/**',
      'coverage/**',
      'spec/build/**',
    ],
  },
  js.configs.recommended,
  ...tseslint.configs.strict,
  {
    rules: {
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-extraneous-class': 'off',
      eqeqeq: 'error',
      'no-param-reassign': 'error',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      complexity: ['error', 14],
      'max-depth': ['error', 3],
    },
  },
  {
    files: ['src/core/**/*.ts', 'src/protocol/**/*.ts', 'src/table/**/*.ts', 'src/catalog/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            { group: OUTSIDE_CORE.map((folder) => `**/${folder}/**`), message: 'core is pure' },
            { group: ['node:*', 'undici', 'hono', 'consola'], message: 'core does no I/O' },
          ],
        },
      ],
      'no-restricted-globals': ['error', 'Date', 'performance', 'setTimeout', 'setInterval'],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random' }],
    },
  },
  { files: ['test/**/*.ts'], rules: { 'max-lines': 'off' } },
  {
    files: ['**/*.js', '**/*.mjs'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly' } },
  },
);
