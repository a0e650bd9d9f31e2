/**
 * Runs the fault matrix on real processes and prints every cell with its verdict. Exits with code 1
 * if a guarantee was violated in any cell.
 */
import meow from 'meow';
import { startProduct } from './faults/cluster.js';
import {
  formatCell,
  isNaiveProxyCell,
  isQuickCell,
  listCells,
  type Cell,
} from './faults/matrix.js';
import { startNaiveDeployment } from './faults/naive-deployment.js';
import type { CellResult } from './faults/run-cell.js';
import { runMatrix } from './faults/run-matrix.js';

const cli = meow(
  `
  Usage
    $ npm run faults -- [--only STEP/FAULT] [--quick] [--naive] [--clusters N]

  Options
    --only      runs the cells whose name contains this text
    --quick     runs the cells that continuous integration runs
    --naive     runs a naive proxy in place of entries and agents, where a cell applies to it
    --clusters  deployments side by side

  Example
    $ npm run faults -- --only grant/agent-killed
`,
  {
    importMeta: import.meta,
    flags: {
      only: { type: 'string', default: '' },
      quick: { type: 'boolean', default: false },
      naive: { type: 'boolean', default: false },
      clusters: { type: 'number', default: 4 },
    },
  },
);

function isSelected(cell: Cell): boolean {
  const { only, quick, naive } = cli.flags;
  if (quick && !isQuickCell(cell)) return false;
  if (naive && !isNaiveProxyCell(cell)) return false;
  return formatCell(cell).includes(only);
}

function printResult({ cell, violations, subjectAnswers, durationMs }: CellResult): void {
  const verdict = violations.length === 0 ? 'kept  ' : 'BROKEN';
  const seconds = (durationMs / 1_000).toFixed(1);
  console.log(`${verdict} ${formatCell(cell)} (${seconds} s): ${subjectAnswers.join('; ')}`);
  for (const violation of violations) console.log(`       ${violation}`);
}

const start = cli.flags.naive ? startNaiveDeployment : startProduct;
const cells = listCells().filter(isSelected);
const skipped = cells.filter(({ reason }) => reason !== undefined);
const runnable = cells.filter(({ reason }) => reason === undefined);
for (const cell of skipped) console.log(`not run ${formatCell(cell)}: ${cell.reason}`);
const results = await runMatrix(runnable, cli.flags.clusters, start, printResult);
const broken = results.filter(({ violations }) => violations.length > 0);
console.log(
  `${results.length} cells run, ${results.length - broken.length} kept every promise, ` +
    `${broken.length} broken, ${skipped.length} not run for the reason given`,
);
if (broken.length > 0) process.exitCode = 1;
