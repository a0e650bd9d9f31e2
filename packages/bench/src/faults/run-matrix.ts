/** Runs cells on several clusters in parallel; a cluster with a violation is replaced. */
import { startCluster, type Cluster, type StartProcesses } from './cluster.js';
import type { Cell } from './matrix.js';
import { probeRecovery, runCell, type CellResult } from './run-cell.js';

/** Runs every given cell; `onResult` is called with each result as the cell ends. */
export async function runMatrix(
  cells: readonly Cell[],
  clusters: number,
  start: StartProcesses,
  onResult: (result: CellResult) => void,
): Promise<CellResult[]> {
  const pendingCells = [...cells];
  const results: CellResult[] = [];

  async function runWorker(): Promise<void> {
    let cluster: Cluster | undefined;
    for (let cell = pendingCells.shift(); cell; cell = pendingCells.shift()) {
      cluster ??= await startReadyCluster(start);
      const result = await runCell(cluster, cell).catch((error: Error) =>
        createFailure(cell, error),
      );
      results.push(result);
      onResult(result);
      if (result.violations.length === 0) continue;
      await cluster.reset().catch(() => undefined);
      await cluster.stop();
      cluster = undefined;
    }
    await cluster?.stop();
  }

  await Promise.all(Array.from({ length: Math.min(clusters, cells.length) }, runWorker));
  return results;
}

/** Starts a cluster and waits until its entries know the agents and serve requests, or throws. */
async function startReadyCluster(start: StartProcesses): Promise<Cluster> {
  const cluster = await startCluster(start);
  const [violation] = await probeRecovery(cluster, 'start');
  if (violation !== undefined) throw new Error(violation);
  return cluster;
}

function createFailure(cell: Cell, error: Error): CellResult {
  return {
    cell,
    violations: [`the cell failed: ${error.message}`],
    subjectAnswers: [],
    durationMs: 0,
  };
}
