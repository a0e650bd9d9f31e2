/**
 * Stand-in for the platform's table service: rows in memory, transactions with conditions on row
 * versions, listings by key, and counters of its operations.
 */
import { sendJson, startStandIn, type StandIn } from './http.js';

interface StoredRow {
  version: number;
  value: unknown;
}

interface RowReference {
  table: string;
  key: string;
}

interface TransactionBody {
  conditions?: (RowReference & { version: number })[];
  writes?: (RowReference & { value: unknown })[];
  reads?: RowReference[];
}

/** Reads (rows and listings) and row writes requested since the start. */
export interface TableCounters {
  reads: number;
  writes: number;
}

/** A running table service. */
export interface Table extends StandIn {
  counters: TableCounters;
  /** Returns the value of a row, for assertions. */
  readValue: (table: string, key: string) => unknown;
}

/** Starts an empty table service. */
export async function startTable(port: number): Promise<Table> {
  const rows = new Map<string, Map<string, StoredRow>>();
  const versions = new Map<string, number>();
  const counters: TableCounters = { reads: 0, writes: 0 };

  function findRow({ table, key }: RowReference): StoredRow | undefined {
    return rows.get(table)?.get(key);
  }

  function writeRow({ table, key, value }: RowReference & { value: unknown }): void {
    const rowId = `${table}\n${key}`;
    const version = (versions.get(rowId) ?? 0) + 1;
    versions.set(rowId, version);
    const tableRows = rows.get(table) ?? new Map<string, StoredRow>();
    rows.set(table, tableRows);
    if (value === null) tableRows.delete(key);
    else tableRows.set(key, { version, value });
  }

  function runTransaction({ conditions = [], writes = [], reads = [] }: TransactionBody) {
    counters.reads += reads.length;
    counters.writes += writes.length;
    const committed = conditions.every(
      (condition) => (findRow(condition)?.version ?? 0) === condition.version,
    );
    if (committed) writes.forEach(writeRow);
    const foundRows = reads.flatMap((reference) => {
      const row = findRow(reference);
      return row ? [{ ...reference, ...row }] : [];
    });
    return { committed, rows: foundRows };
  }

  function listRows(table: string, after: string, limit: number) {
    counters.reads += 1;
    const keys = [...(rows.get(table)?.keys() ?? [])].filter((key) => key > after).sort();
    return keys.slice(0, limit).map((key) => ({ table, key, ...findRow({ table, key })! }));
  }

  const standIn = await startStandIn(port, (request, response, body) => {
    const url = new URL(request.url ?? '/', 'http://table');
    if (request.method === 'POST' && url.pathname === '/v1/transaction') {
      const result = runTransaction(JSON.parse(body.toString('utf8')) as TransactionBody);
      if (standIn.faults.loseAnswers > 0) {
        standIn.faults.loseAnswers -= 1;
        request.socket.destroy();
        return;
      }
      sendJson(response, 200, result);
    } else if (url.pathname === '/v1/rows') {
      const { searchParams } = url;
      const limit = Number(searchParams.get('limit') ?? 100);
      const after = searchParams.get('after') ?? '';
      sendJson(response, 200, { rows: listRows(searchParams.get('table') ?? '', after, limit) });
    } else {
      sendJson(response, 404, { error: 'no such path' });
    }
  });
  const readValue = (table: string, key: string) => findRow({ table, key })?.value;
  return Object.assign(standIn, { counters, readValue });
}
