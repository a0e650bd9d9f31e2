/**
 * Client of the platform's transactional table service. A transaction states the row versions it
 * requires and commits atomically. The answer can be lost after the commit, so an error carries
 * whether the transaction may have taken effect; the caller finds out by reading.
 */
import { createHttpPool } from '@masticbend/kernel/http-pool';

const MAX_CONNECTIONS = 8;

const TRANSACTION_PATH = '/v1/transaction';
const LIST_PATH = '/v1/rows';

/** Identifies a row. */
export interface RowReference {
  table: string;
  key: string;
}

/** A row as read. */
export interface Row extends RowReference {
  /** Starts at 1 and increases with every write of the row. */
  version: number;
  value: unknown;
}

/** Requires a row to have this version; 0 requires that it does not exist. */
export interface RowCondition extends RowReference {
  version: number;
}

/** Sets the value of a row; `null` deletes the row. */
export interface RowWrite extends RowReference {
  value: unknown;
}

/** Conditions, writes and reads that are executed atomically. */
export interface Transaction {
  conditions?: RowCondition[];
  writes?: RowWrite[];
  /** Rows to return as they are after the transaction. */
  reads?: RowReference[];
}

/** Whether all conditions held, and the rows from `reads` that exist. */
export interface TransactionResult {
  committed: boolean;
  rows: Row[];
}

/** Thrown if a call to a platform service fails, times out or returns an unexpected status. */
export class PlatformError extends Error {
  constructor(
    message: string,
    /** False only if the call certainly had no effect. */
    readonly mayHaveTakenEffect: boolean,
  ) {
    super(message);
    this.name = 'PlatformError';
  }
}

/** Address of the table service and timeout of a call. */
export interface TableClientOptions {
  url: string;
  timeoutMs: number;
}

/** Client of the table service. Every call may throw `PlatformError`. */
export interface TableClient {
  transact: (transaction: Transaction) => Promise<TransactionResult>;
  readRow: (reference: RowReference) => Promise<Row | undefined>;
  /** Returns at most `limit` rows whose key sorts after `after`, in key order. */
  listRows: (table: string, after: string, limit: number) => Promise<Row[]>;
  close: () => Promise<void>;
}

/** Returns a client that opens connections on demand. */
export function createTableClient({ url, timeoutMs }: TableClientOptions): TableClient {
  const pool = createHttpPool(url, {
    connections: MAX_CONNECTIONS,
    connectTimeout: timeoutMs,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
  });

  async function call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<unknown> {
    const response = await pool.request({
      method,
      path,
      headers: { 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
      throw new PlatformError(`table service answered ${response.statusCode}`, true);
    }
    return JSON.parse(text) as unknown;
  }

  async function runTransaction(transaction: Transaction): Promise<TransactionResult> {
    const hasWrites = (transaction.writes ?? []).length > 0;
    try {
      return (await call('POST', TRANSACTION_PATH, transaction)) as TransactionResult;
    } catch (error) {
      throw createPlatformError(error, hasWrites);
    }
  }

  return {
    transact: runTransaction,
    async readRow(reference) {
      const { rows } = await runTransaction({ reads: [reference] });
      return rows[0];
    },
    async listRows(table, after, limit) {
      const query = new URLSearchParams({ table, after, limit: String(limit) });
      try {
        const answer = (await call('GET', `${LIST_PATH}?${query}`)) as { rows: Row[] };
        return answer.rows;
      } catch (error) {
        throw createPlatformError(error, false);
      }
    },
    close: () => pool.close(),
  };
}

function createPlatformError(error: unknown, hasWrites: boolean): PlatformError {
  const { code, message } = error as { code?: string; message: string };
  const isUnsent = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
  return new PlatformError(`table service: ${message}`, hasWrites && !isUnsent);
}
