/** `npm run soak`: bundles the TypeScript sources of the soak and runs the bundle. */
import { readFile, rm } from 'node:fs/promises';
import { dirname, join, resolve } from 'node:path';
import { build } from 'esbuild';

const ROOT = resolve(import.meta.dirname, '..');
const OUTPUT = join(ROOT, `out/soak-main-${process.pid}.mjs`);

/** Replaces `import.meta.dirname`, so that bundled modules find files next to their sources. */
const keepFolders = {
  name: 'keep-folders',
  setup(bundler) {
    bundler.onLoad({ filter: /\.ts$/ }, async ({ path }) => {
      const text = await readFile(path, 'utf8');
      const folder = JSON.stringify(dirname(path));
      return { contents: text.replaceAll('import.meta.dirname', folder), loader: 'ts' };
    });
  },
};

await build({
  entryPoints: [join(ROOT, 'soak/main.ts')],
  outfile: OUTPUT,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  packages: 'external',
  plugins: [keepFolders],
  logLevel: 'warning',
});
try {
  await import(OUTPUT);
} finally {
  await rm(OUTPUT, { force: true });
}
