/**
 * Store client whose reads go through peers where that saves calls to the store, or where the store
 * does not answer this entry. Writes always go to the store.
 */
import type { ReadResult, Store } from '@masticbend/platform/store';
import { ReadRole } from './table-feed.js';
import type { TableRelay } from './table-relay.js';

/** Wraps a client; `getEra` returns the newest era of the store that was seen. */
export function createRelayedStore(
  store: Store,
  getRelay: () => Pick<TableRelay, 'getReadRole' | 'read'>,
  getEra: () => number | undefined,
): Store {
  async function read(
    readStore: () => Promise<ReadResult>,
    readPeer: () => Promise<ReadResult | undefined>,
  ): Promise<ReadResult> {
    const isFromPeers = getRelay().getReadRole() === ReadRole.FromPeers;
    if (isFromPeers) return (await readPeer()) ?? readStore();
    const result = await readStore();
    return result.kind === 'unavailable' ? ((await readPeer()) ?? result) : result;
  }

  return {
    ...store,
    readRows: (table) =>
      read(
        () => store.readRows(table),
        () => getRelay().read(table, undefined, 0),
      ),
    readChanges: (table, after, waitMs) =>
      read(
        () => store.readChanges(table, after, waitMs),
        () => getRelay().read(table, { era: getEra() ?? 0, after }, waitMs),
      ),
  };
}
