/**
 * Bundles the gateway into one file. After a loss of power every gateway starts at the same time as its
 * callers come back, and loading some hundred modules one by one takes longer than all else at a start.
 *
 *     node deploy/bundle.mjs [OUTPUT]
 */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));

/** Where the bundle goes unless the command line says otherwise; `system.toml` starts it from there. */
const DEFAULT_OUTPUT = join(ROOT, 'target/gateway.cjs');

/**
 * Modules that libraries load at their start and that a gateway never calls: HTTP/2, which brings in
 * all of `node:http2`, and the native string reader of cbor-x, which looks for its binary by way of
 * `node:child_process`. cbor-x goes on without the latter when it fails to load.
 */
const UNUSED_MODULES = /(client-h2(\.js)?|cbor-extract)$/;

/** Puts a module in place of an unused one that fails when it is asked for anything. */
const leaveOutUnused = {
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
  plugins: [leaveOutUnused],
  // Guarded by `typeof require` in cbor-x: never evaluated in a bundle of this format.
  logOverride: { 'empty-import-meta': 'silent' },
  logLevel: 'warning',
});
