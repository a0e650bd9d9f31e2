import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { formatCell, listCells } from '@masticbend/bench/faults/matrix';

const RUN_TIMEOUT_MS = 150_000;
const program = fileURLToPath(new URL('../dist/faults.js', import.meta.url));

function runMatrix(...flags: string[]): Promise<{ code: number; output: string }> {
  return new Promise((resolve) => {
    const child = execFile(process.execPath, [program, ...flags], (error, stdout, stderr) => {
      resolve({ code: child.exitCode ?? 1, output: `${stdout}${stderr}` });
    });
  });
}

describe('fault matrix', () => {
  it('has a cell or a reason for every fault at every step', () => {
    const cells = listCells();
    expect(new Set(cells.map(formatCell)).size).to.equal(11 * 13);
    expect(
      cells.every(
        ({ triggerPoint, reason }) => (triggerPoint === undefined) !== (reason === undefined),
      ),
    )
      .to //
      .equal(true);
    const skipped = cells.filter(({ reason }) => reason !== undefined);
    expect(skipped.map(formatCell)).toMatchSnapshot();
  });

  it('keeps every guarantee in the quick cells', async () => {
    const { code, output } = await runMatrix('--quick', '--clusters', '2');
    expect(code, output).to.equal(0);
    expect(output).to.include('8 cells run, 8 kept every promise, 0 broken');
  }).timeout(RUN_TIMEOUT_MS);
});
