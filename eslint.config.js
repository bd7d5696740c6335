import js from '@eslint/js';
import tseslint from 'typescript-eslint';

/** Folders that `core` must not import: the core is pure, see docs/design/01-architecture.md. */
const OUTSIDE_CORE = ['runtime', 'simulation', 'standins', 'cli', 'settings', 'reports'];

/** Names of the users' platform; they stand in platform/ and nowhere else. */
const PLATFORM_NAME =
  '/x-(request-id|time-budget|server-|target-instance|not-executed|instance-id|part-stamps|missing-parts)|path_prefix|cold_left|(timeout|target|wait|drain)_ms|top_k|min_coverage|max_attempts|max_conns|CROSSROAD_BOOT/i';

const PLATFORM_NAMES = ['Literal', 'TemplateElement'].map((node) => ({
  selector:
    node === 'Literal'
      ? `Literal[value=${PLATFORM_NAME}]`
      : `TemplateElement[value.raw=${PLATFORM_NAME}]`,
  message: 'names of the platform stand in platform/',
}));

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
  {
    files: ['src/**/*.ts', 'soak/**/*.ts'],
    rules: {
      'no-restricted-syntax': ['error', ...PLATFORM_NAMES],
    },
  },
  {
    files: ['src/gateway/*.ts', 'src/gateway/!(runtime)/**/*.ts'],
    rules: {
      'no-restricted-globals': ['error', 'Date', 'performance', 'setTimeout', 'setInterval'],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random' }],
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            { group: ['**/platform/**'], message: 'the platform speaks through the protocol' },
            { group: ['node:*', 'undici', 'hono', 'consola'], message: 'the reducer does no I/O' },
          ],
        },
      ],
    },
  },
  {
    files: ['src/gateway/runtime/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            { group: ['**/platform/**'], message: 'the platform speaks through the protocol' },
          ],
        },
      ],
    },
  },
  { files: ['test/**/*.ts'], rules: { 'max-lines': 'off' } },
  {
    files: ['**/*.js', '**/*.mjs'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly' } },
  },
);
