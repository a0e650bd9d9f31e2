/** Client of the platform's object store, which stores large immutable texts by key. */
import { createHttpPool } from '@masticbend/kernel/http-pool';
import { PlatformError } from './table.js';

const MAX_CONNECTIONS = 4;

/** Address of the object store and timeout of a call. */
export interface ObjectStoreOptions {
  url: string;
  timeoutMs: number;
}

/** Client of the object store. Every call may throw `PlatformError`. */
export interface ObjectStore {
  /** Stores a text under a key, replacing any earlier one. */
  writeObject: (key: string, text: string) => Promise<void>;
  /** Returns the text under a key, or undefined if there is none. */
  readObject: (key: string) => Promise<string | undefined>;
  removeObject: (key: string) => Promise<void>;
}

/** Returns a client that opens connections on demand. */
export function createObjectStore({ url, timeoutMs }: ObjectStoreOptions): ObjectStore {
  const pool = createHttpPool(url, { connections: MAX_CONNECTIONS, connectTimeout: timeoutMs });

  async function call(method: 'GET' | 'PUT' | 'DELETE', key: string, body: string | null) {
    try {
      const path = `/objects/${encodeURIComponent(key)}`;
      const signal = AbortSignal.timeout(timeoutMs);
      const response = await pool.request({ method, path, body, signal });
      return { status: response.statusCode, text: await response.body.text() };
    } catch (error) {
      throw new PlatformError(`object store: ${(error as Error).message}`, method !== 'GET');
    }
  }

  function requireStatus(status: number, expected: number, method: string): void {
    if (status === expected) return;
    throw new PlatformError(`object store answered ${status}`, method !== 'GET');
  }

  return {
    async writeObject(key, text) {
      const { status } = await call('PUT', key, text);
      requireStatus(status, 204, 'PUT');
    },
    async readObject(key) {
      const { status, text } = await call('GET', key, null);
      if (status === 404) return undefined;
      requireStatus(status, 200, 'GET');
      return text;
    },
    async removeObject(key) {
      const { status } = await call('DELETE', key, null);
      requireStatus(status, 204, 'DELETE');
    },
  };
}
