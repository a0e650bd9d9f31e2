/**
 * Client of the platform's transactional table service. A transaction names the row versions it
 * was made against and commits whole or not at all. An answer can be lost after the commit, so a
 * failure says whether the transaction may have taken effect; the caller settles that by reading.
 */
import { Pool } from 'undici';

/** Connections to the service. */
const MAX_CONNECTIONS = 8;

/** Path of transactions. */
const TRANSACTION_PATH = '/v1/transaction';
/** Path of listings. */
const LIST_PATH = '/v1/rows';

/** Names a row. */
export interface RowReference {
  table: string;
  key: string;
}

/** A row as read. */
export interface Row extends RowReference {
  /** Raised by every write of the row, from 1. */
  version: number;
  value: unknown;
}

/** Requires a row to be at a version; 0 means that it must not exist. */
export interface RowCondition extends RowReference {
  version: number;
}

/** Sets a row; `null` removes it. */
export interface RowWrite extends RowReference {
  value: unknown;
}

/** What to do at once. */
export interface Transaction {
  conditions?: RowCondition[];
  writes?: RowWrite[];
  /** Rows to return as they are after the transaction. */
  reads?: RowReference[];
}

/** Whether the conditions held; rows read that exist. */
export interface TransactionResult {
  committed: boolean;
  rows: Row[];
}

/** The platform did not answer as it should. */
export class PlatformError extends Error {
  constructor(
    message: string,
    /** False when the call certainly had no effect. */
    readonly mayHaveTakenEffect: boolean,
  ) {
    super(message);
    this.name = 'PlatformError';
  }
}

/** Where the service is and how long a call may take, in milliseconds. */
export interface TableClientOptions {
  url: string;
  timeoutMs: number;
}

/** Client of the table service. Every call may throw `PlatformError`. */
export interface TableClient {
  transact: (transaction: Transaction) => Promise<TransactionResult>;
  readRow: (reference: RowReference) => Promise<Row | undefined>;
  /** Returns rows whose key is above `after`, in order of key, at most `limit`. */
  listRows: (table: string, after: string, limit: number) => Promise<Row[]>;
  close: () => Promise<void>;
}

/** Returns a client; connections are opened when needed. */
export function createTableClient({ url, timeoutMs }: TableClientOptions): TableClient {
  const pool = new Pool(url, {
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
