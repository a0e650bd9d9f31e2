/**
 * Measures the resources that each role uses per peer, call (without and with an idempotency key),
 * token, stream and client account, with the real processes on loopback. docs/CAPACITY.md
 * extrapolates these slopes to the full size.
 */
import meow from 'meow';
import {
  measureAccounts,
  measureAgentsOfEntry,
  measureCalls,
  measureEdits,
  measureEntriesOfAgent,
  measureStreams,
  measureTable,
  type SlopeResult,
} from './slopes/studies.js';

const cli = meow(
  `
  Usage
    $ npm run slopes -- [--json] [--only STUDY]

  Studies: agents, entries, calls, streams, table, accounts, edits
`,
  {
    importMeta: import.meta,
    flags: { json: { type: 'boolean', default: false }, only: { type: 'string' } },
  },
);

const STUDIES: Readonly<Record<string, () => Promise<SlopeResult[]>>> = {
  agents: () => measureAgentsOfEntry([4, 16, 32]),
  entries: () => measureEntriesOfAgent([1, 8, 16]),
  calls: () => measureCalls([50, 200, 400]),
  streams: () => measureStreams([20, 100, 200]),
  table: () => measureTable([0, 20, 60]),
  accounts: () => measureAccounts([0, 3_000, 6_500]),
  edits: () => measureEdits([0, 3_000, 6_500]),
};

const results: SlopeResult[] = [];
for (const [name, run] of Object.entries(STUDIES)) {
  if (cli.flags.only && cli.flags.only !== name) continue;
  if (!cli.flags.json) console.log(`measuring ${name}`);
  results.push(...(await run()));
}

if (cli.flags.json) console.log(JSON.stringify(results, undefined, 2));
else console.table(results.map(formatResult));

function formatResult({ name, cause, effect, line }: SlopeResult) {
  const { slope, base, fit } = line;
  return {
    name,
    base: `${base.toPrecision(3)} ${effect}`,
    slope: `${slope.toPrecision(3)} ${effect} per ${cause}`,
    fit: fit.toFixed(2),
  };
}
