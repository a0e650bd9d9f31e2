// Bundles each program that runs on the platform into one file in target/. A bundle starts in a
// fraction of the processor time that resolving the packages takes.
import { resolve } from 'node:path';
import { build } from 'esbuild';

/** Packages of which the programs use only a part, and the modules that export that part. */
const PARTIAL_MODULES = {
  undici: 'scripts/undici-pool.cjs',
  'hdr-histogram-js': 'scripts/histogram.cjs',
};

const selectParts = {
  name: 'select-parts',
  setup({ onResolve }) {
    onResolve({ filter: /^(undici|hdr-histogram-js)$/ }, ({ path }) => ({
      path: resolve(PARTIAL_MODULES[path]),
    }));
  },
};

await build({
  entryPoints: {
    'masticbend-agent': 'packages/gateway/src/agent-main.ts',
    'masticbend-entry': 'packages/gateway/src/main.ts',
  },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  external: ['cbor-extract'],
  plugins: [selectParts],
  minifySyntax: true,
  logLevel: 'warning',
});
