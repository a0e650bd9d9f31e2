/** A relay in front of the table service that injects faults into chosen transactions. */
import { Pool } from 'undici';
import {
  createFaults,
  dropAnswer,
  sendJson,
  startStandIn,
  waitFor,
  type StandIn,
} from '@masticbend/standins/http';

/** A write inside a transaction. */
export interface TableWrite {
  table: string;
  key: string;
  value: { outcome?: unknown } | null;
}

/** Action to apply to a transaction. */
export type TableAction =
  | { kind: 'pass' }
  | { kind: 'duplicate' }
  /** Closes the connection before the service receives it. */
  | { kind: 'cut' }
  /** Closes the connection after it took effect. */
  | { kind: 'lose' }
  | { kind: 'hold'; durationMs: number };

/** Starts a relay; `decideAction` receives the writes of each call, none for a read. */
export async function startTableRelay(
  tableUrl: string,
  decideAction: (writes: TableWrite[]) => TableAction,
): Promise<StandIn> {
  const pool = new Pool(tableUrl, { connections: 32 });
  const faults = createFaults();

  async function callTable(method: string, path: string, body: Buffer) {
    const response = await pool.request({ method, path, body: body.length > 0 ? body : null });
    return { status: response.statusCode, value: await response.body.json() };
  }

  const relay = await startStandIn(
    0,
    async (request, response, body) => {
      const { method = 'GET', url = '/' } = request;
      const action = decideAction(parseWrites(body));
      if (action.kind === 'cut') {
        response.destroy();
        return;
      }
      if (action.kind === 'hold') await waitFor(action.durationMs);
      const answer = await callTable(method, url, body);
      if (action.kind === 'duplicate') await callTable(method, url, body);
      if (action.kind === 'lose') response.destroy();
      else if (!dropAnswer(faults, response)) sendJson(response, answer.status, answer.value);
    },
    faults,
  );
  return {
    ...relay,
    async close() {
      await relay.close();
      await pool.close();
    },
  };
}

function parseWrites(body: Buffer): TableWrite[] {
  if (body.length === 0) return [];
  return (JSON.parse(body.toString('utf8')) as { writes?: TableWrite[] }).writes ?? [];
}
