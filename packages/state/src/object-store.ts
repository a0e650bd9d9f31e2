/** Client of the platform's object store: large bodies that never change, under a key. */
import { Pool } from 'undici';
import { PlatformError } from './table.js';

/** Connections to the service. */
const MAX_CONNECTIONS = 4;

/** Where the store is and how long a call may take, in milliseconds. */
export interface ObjectStoreOptions {
  url: string;
  timeoutMs: number;
}

/** Client of the object store. Every call may throw `PlatformError`. */
export interface ObjectStore {
  /** Stores a text; storing the same key again replaces it. */
  writeObject: (key: string, text: string) => Promise<void>;
  /** Returns a text, or undefined when there is none under the key. */
  readObject: (key: string) => Promise<string | undefined>;
  removeObject: (key: string) => Promise<void>;
}

/** Returns a client; connections are opened when needed. */
export function createObjectStore({ url, timeoutMs }: ObjectStoreOptions): ObjectStore {
  const pool = new Pool(url, { connections: MAX_CONNECTIONS, connectTimeout: timeoutMs });

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
