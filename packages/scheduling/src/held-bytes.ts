/**
 * Memory that a process holds for its connections, and the decision which connection is dropped:
 * one that takes nothing for too long, one that holds too much by itself, and at the bounds of the
 * process those that hold most without moving. A state machine without clocks or sockets.
 */
import type {
  DroppedConnection,
  HeldBytes,
  HeldSample,
} from '@masticbend/kernel/connection-bounds';

/** Bounds of one process. */
export interface HeldBounds {
  /** Bytes for one connection from which no request is read, and by default its servers paused. */
  connectionBytes: number;
  /**
   * Fraction of what is unused of the lower half of the process bound that the answers on one
   * connection may take where this is more than `connectionBytes`; 0 by default.
   */
  spareFraction?: number;
  /** Bytes for one connection above which it is dropped whatever its pace. */
  maxConnectionBytes: number;
  /** Bytes for all connections together, with what the connections take by themselves. */
  processBytes: number;
  /** Connections at once; unbounded by default. */
  maxConnections?: number;
  /** Time in which a connection that has bytes to take must take some, in milliseconds. */
  writeMs: number;
}

/** Why a connection is dropped. */
export const DropReason = {
  /** The caller took nothing within the time limit. */
  WriteTimeout: 'write-timeout',
  ConnectionBound: 'connection-bound',
  ProcessBound: 'process-bound',
} as const;
export type DropReason = (typeof DropReason)[keyof typeof DropReason];

/** Fraction of the process bounds to which a drop goes, so that the next bytes cause none. */
const DROP_TARGET = 0.9;
/** Fraction of the process bound from which servers are paused as soon as a caller is behind. */
const FULL_ALLOWANCE = 0.5;
/** Shortest time over which a pace counts; connections held for less are dropped last. */
const MIN_PACE_MS = 250;

/**
 * Time between two updates above which the process itself did not run: what its callers could have
 * taken meanwhile says nothing about them.
 */
const MAX_UPDATE_GAP_MS = 1_000;

interface HeldConnection {
  updatedAt: number;
  sample: HeldSample;
  /** Time since which it holds bytes, or none, and the bytes moved before. */
  heldSince: number;
  movedBefore: number;
  /** Time since which no bytes moved. */
  stillSince: number;
  /** Time since which it has bytes to take and takes none. */
  idleSince: number;
}

/** Returns a state without connections. */
export function createHeldBytes<Id>(bounds: HeldBounds): HeldBytes<Id> {
  const { connectionBytes, processBytes, spareFraction = 0, maxConnections = Infinity } = bounds;
  const connections = new Map<Id, HeldConnection>();
  let heldBytes = 0;
  let baseBytes = 0;

  function countSpare(): number {
    return Math.max(0, processBytes * FULL_ALLOWANCE - heldBytes);
  }

  function isAbove(fraction: number): boolean {
    return (
      heldBytes + baseBytes > processBytes * fraction ||
      connections.size > maxConnections * fraction
    );
  }

  function remove(id: Id): void {
    const connection = connections.get(id);
    if (!connection) return;
    heldBytes -= countHeld(connection.sample);
    baseBytes -= connection.sample.baseBytes ?? 0;
    connections.delete(id);
  }

  function findReason(now: number, { sample, idleSince }: HeldConnection): DropReason | undefined {
    if (sample.dueBytes > 0 && now - idleSince >= bounds.writeMs) return DropReason.WriteTimeout;
    if (countHeld(sample) > bounds.maxConnectionBytes) return DropReason.ConnectionBound;
    return undefined;
  }

  function rankDropped(now: number): [Id, HeldConnection][] {
    const ranked = [...connections].map(([id, connection]) => ({
      id,
      connection,
      order: classify(now, connection),
      waste: estimateWaste(now, connection),
    }));
    ranked.sort((left, right) => left.order - right.order || right.waste - left.waste);
    return ranked.map(({ id, connection }) => [id, connection]);
  }

  return {
    update(now, id, sample) {
      const known = connections.get(id);
      remove(id);
      const { baseBytes: ownBytes = 0, movedBytes } = sample;
      if (countHeld(sample) + ownBytes === 0) return;
      heldBytes += countHeld(sample);
      baseBytes += ownBytes;
      const isIdle =
        known !== undefined &&
        known.sample.takenBytes === sample.takenBytes &&
        now - known.updatedAt <= MAX_UPDATE_GAP_MS;
      const hasHeldOn =
        known !== undefined && countHeld(known.sample) > 0 === countHeld(sample) > 0;
      connections.set(id, {
        updatedAt: now,
        sample,
        heldSince: hasHeldOn ? known.heldSince : now,
        movedBefore: hasHeldOn ? known.movedBefore : movedBytes,
        stillSince: known?.sample.movedBytes === movedBytes ? known.stillSince : now,
        idleSince: isIdle && known.sample.dueBytes > 0 ? known.idleSince : now,
      });
    },
    remove,
    count: () => heldBytes,
    isExceeded: () => isAbove(1),
    getAllowance: () => (countSpare() > 0 ? connectionBytes : 0),
    getAnswerAllowance() {
      const spareBytes = countSpare();
      return spareBytes > 0 ? Math.max(connectionBytes, spareBytes * spareFraction) : 0;
    },
    takeDropped(now) {
      const dropped: DroppedConnection<Id>[] = [];
      const drop = (id: Id, { sample }: HeldConnection, reason: DropReason) => {
        dropped.push({ id, reason, heldBytes: countHeld(sample) + (sample.baseBytes ?? 0) });
        remove(id);
      };
      for (const [id, connection] of [...connections]) {
        const reason = findReason(now, connection);
        if (reason) drop(id, connection, reason);
      }
      if (!isAbove(1)) return dropped;
      for (const [id, connection] of rankDropped(now)) {
        if (!isAbove(DROP_TARGET)) break;
        drop(id, connection, DropReason.ProcessBound);
      }
      return dropped;
    },
  };
}

function countHeld({ outputBytes, otherBytes }: HeldSample): number {
  return outputBytes + otherBytes;
}

/** What waits for its caller or can be refused as not run comes first, and what is new last. */
function classify(now: number, { sample, heldSince }: HeldConnection): number {
  if (now - heldSince < MIN_PACE_MS) return 2;
  return sample.isRefusable || sample.dueBytes > 0 ? 0 : 1;
}

/**
 * Bytes that the connection holds times the time for which it has been still, or in which it would
 * be free of them at its pace so far.
 */
function estimateWaste(now: number, connection: HeldConnection): number {
  const { sample, heldSince, movedBefore, stillSince } = connection;
  const held = countHeld(sample);
  const movedPerMs = (sample.movedBytes - movedBefore) / Math.max(1, now - heldSince);
  const drainMs = held / Math.max(1e-6, movedPerMs);
  return (held + (sample.baseBytes ?? 0)) * Math.max(1, now - stillSince, drainMs);
}
