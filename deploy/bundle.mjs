/**
 * Bundles the gateway into one file. After a power failure all gateways start while their callers already
 * return, and loading some hundred separate modules would take longer than the rest of the start.
 *
 *     node deploy/bundle.mjs [OUTPUT]
 */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));

/** Default path of the bundle, from which `system.toml` starts it. */
const DEFAULT_OUTPUT = join(ROOT, 'target/gateway.cjs');

/**
 * Modules that libraries load at startup and a gateway never uses: HTTP/2, which loads all of `node:http2`, and
 * the native string decoder of cbor-x, which searches for its binary through `node:child_process`. cbor-x works
 * without the decoder if it fails to load.
 */
const UNUSED_MODULES = /(client-h2(\.js)?|cbor-extract)$/;

/** Replaces each unused module by a stub that throws: HTTP/2 when it is called, the decoder when it is loaded. */
const stubUnusedModules = {
  name: 'leave-out-unused',
  setup(bundler) {
    bundler.onResolve({ filter: UNUSED_MODULES }, ({ path }) => ({ path, namespace: 'unused' }));
    bundler.onLoad({ filter: /.*/, namespace: 'unused' }, ({ path }) => ({
      contents: path.includes('client-h2')
        ? `module.exports = () => { throw new Error('HTTP/2 is not part of the bundle'); };`
        : `throw new Error(${JSON.stringify(`${path} is not part of the bundle`)});`,
    }));
  },
};

await build({
  entryPoints: [join(ROOT, 'platform/main.ts')],
  outfile: process.argv[2] ?? DEFAULT_OUTPUT,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  plugins: [stubUnusedModules],
  // cbor-x guards its use of `import.meta` by `typeof require`, so it is never evaluated in a CommonJS bundle.
  logOverride: { 'empty-import-meta': 'silent' },
  logLevel: 'warning',
});
