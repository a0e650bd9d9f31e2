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

/** Bundle of a command, which the programs load only when the command is used. */
const COMMAND_BUNDLE = 'masticbend-check-configuration';

const separateCommand = {
  name: 'separate-command',
  setup({ onResolve }) {
    onResolve({ filter: /^\.\/check-configuration\.js$/ }, () => ({
      path: `./${COMMAND_BUNDLE}.mjs`,
      external: true,
    }));
  },
};

const options = {
  outdir: 'target',
  bundle: true,
  platform: 'node',
  target: 'node20',
  conditions: ['source'],
  external: ['cbor-extract'],
  plugins: [selectParts, separateCommand],
  minifySyntax: true,
  logLevel: 'warning',
};

await build({
  ...options,
  entryPoints: {
    'masticbend-agent': 'packages/gateway/src/agent-main.ts',
    'masticbend-entry': 'packages/gateway/src/main.ts',
  },
  outExtension: { '.js': '.cjs' },
  format: 'cjs',
});
await build({
  ...options,
  entryPoints: { [COMMAND_BUNDLE]: 'packages/gateway/src/check-configuration.ts' },
  // `meow` uses import.meta, which the other format lacks.
  outExtension: { '.js': '.mjs' },
  format: 'esm',
});
