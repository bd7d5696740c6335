/** `npm run soak`: bundles the soak, which is written in TypeScript, and runs it. */
import { readFile, rm } from 'node:fs/promises';
import { dirname, join, resolve } from 'node:path';
import { build } from 'esbuild';

const ROOT = resolve(import.meta.dirname, '..');
const OUTPUT = join(ROOT, `out/soak-main-${process.pid}.mjs`);

/** Lets modules find files beside their sources, wherever the bundle lies. */
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
