import { defineConfig } from 'vitest/config';

/** Tests that need a browser; `npm run test:browser`. */
export default defineConfig({
  test: {
    include: ['test/browser/**/*.browser.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    fileParallelism: false,
  },
});
