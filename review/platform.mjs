/* global performance, setInterval, clearInterval */
/**
 * The rest of the platform: the operator's rows, and the registrations of the workers, which lapse
 * after three ping intervals of silence.
 */
export const HEARTBEAT_MS = 1_200;
const LAPSE_HEARTBEATS = 3;
const LAPSE_CHECK_MS = 50;

export function createPlatform(store, record) {
  /** Time of the last ping, by worker; also for rows that a restored store shows again. */
  const pingedAt = new Map();
  let sequence = 0;

  function writePing(worker) {
    if (store.getMode() !== 'up') return;
    sequence += 1;
    pingedAt.set(worker.id, performance.now());
    store.put('servers', worker.id, { ...worker.describe(), sequence });
  }

  const lapseTimer = setInterval(() => {
    if (store.getMode() !== 'up') return;
    const now = performance.now();
    for (const [id, at] of pingedAt) {
      if (now - at > LAPSE_HEARTBEATS * HEARTBEAT_MS) {
        pingedAt.delete(id);
        if (store.has('servers', id)) {
          record('platform', `entry of ${id} removed after three ping intervals of silence`);
          store.remove('servers', id);
        }
      }
    }
  }, LAPSE_CHECK_MS);

  return {
    ping: writePing,
    /** The worker has left by plan: its entry is removed. */
    removeEntry(id) {
      pingedAt.delete(id);
      store.remove('servers', id);
      record('platform', `entry of ${id} removed, the store has confirmed`);
    },
    /** The store is back from a copy: an entry that it shows again lapses if nobody pings. */
    restore(copy) {
      store.restore(copy);
      const now = performance.now();
      for (const { table, key, deleted } of copy.rows.values()) {
        if (table === 'servers' && !deleted) pingedAt.set(key, now);
      }
    },
    close: () => clearInterval(lapseTimer),
  };
}
