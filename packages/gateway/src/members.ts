/**
 * The entries of the deployment, by their rows in the store. Each entry renews its own row; one
 * whose row stays unchanged for the lease counts as gone. An entry that could not renew its row in
 * time must not admit work by shared limits, since the others may have taken over its part.
 */
import { waitFor, type Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { parseJson, readFields, readText } from '@masticbend/platform/decode';
import type { Store } from '@masticbend/platform/store';
import { isAddress } from '@masticbend/settings/address';

/** Table of the entries; the key is the instance name. */
const MEMBERS_TABLE = 'entries';
/** Time between renewals, and between reads of the table, in milliseconds. */
const RENEWAL_MS = 2_500;
/** Pause after a renewal that failed, in milliseconds. */
const RETRY_MS = 300;
/** Age of the last renewal from which an entry counts itself out, in milliseconds. */
export const HOLDER_LEASE_MS = 8_000;
/** Time without a renewal after which others count an entry out; longer than its own. */
export const GIVER_LEASE_MS = 11_000;

/** An entry of the deployment. */
export interface Member {
  instance: string;
  /** Mesh address as `IP:port`. */
  address: string;
}

/** Known entries. */
export interface Members {
  start: () => void;
  stop: () => void;
  /** Other entries whose lease holds. */
  listOthers: () => Member[];
  /** Tells whether this entry's own lease holds. */
  isLeaseHeld: () => boolean;
}

/** What membership needs. */
export interface MembersOptions {
  store: Pick<Store, 'readRows' | 'writeRow'>;
  self: Member;
  incarnation: string;
  clock: Clock;
  /** Elapsed time that counts suspension. */
  getElapsed: () => number;
  log: Logger;
  onChange: () => void;
}

interface KnownMember extends Member {
  revision: number;
  renewedAt: number;
}

/** Returns a membership that has not been announced. */
export function createMembers(options: MembersOptions): Members {
  const { store, self, incarnation, clock, getElapsed, log, onChange } = options;
  const known = new Map<string, KnownMember>();
  let renewedAt: number | undefined;
  /** The table was read after the own row was written: everybody who counts is known. */
  let listed = false;
  let stopped = false;

  async function refreshLease(): Promise<boolean> {
    const sentAt = getElapsed();
    const value = Buffer.from(JSON.stringify({ address: self.address, incarnation }));
    const result = await store.writeRow(MEMBERS_TABLE, self.instance, value);
    if (result.kind !== 'committed') return false;
    renewedAt = sentAt;
    return true;
  }

  async function refreshMembers(): Promise<boolean> {
    const result = await store.readRows(MEMBERS_TABLE);
    if (result.kind !== 'rows') return false;
    const now = getElapsed();
    for (const { key, value, revision } of result.rows.rows) {
      if (key !== self.instance) updateMember(key, readAddress(value), revision, now);
    }
    dropLapsed(now);
    listed ||= renewedAt !== undefined;
    return true;
  }

  function updateMember(
    instance: string,
    address: string | undefined,
    revision: number,
    now: number,
  ): void {
    const member = known.get(instance);
    if (address === undefined || member?.revision === revision) return;
    known.set(instance, { instance, address, revision, renewedAt: now });
    if (member?.address === address) return;
    log.info(LogEvent.MemberChanged, { peer: instance, address, change: 'seen', revision });
    onChange();
  }

  function dropLapsed(now: number): void {
    for (const { instance, renewedAt: seenAt, revision } of [...known.values()]) {
      if (now - seenAt > GIVER_LEASE_MS) {
        known.delete(instance);
        const ageMs = Math.round(now - seenAt);
        log.info(LogEvent.MemberChanged, { peer: instance, change: 'lapsed', revision, ageMs });
        onChange();
      }
    }
  }

  async function run(): Promise<void> {
    while (!stopped) {
      const renewed = await refreshLease();
      const refreshed = await refreshMembers();
      await waitFor(clock, renewed && refreshed ? choosePause() : RETRY_MS);
    }
  }

  /** Entries that start together see each other soon after. */
  function choosePause(): number {
    return known.size === 0 ? RETRY_MS : RENEWAL_MS;
  }

  return {
    start() {
      run().catch((error: Error) => {
        log.error(LogEvent.ProcessFailed, { service: 'members', error: error.message });
        throw error;
      });
    },
    stop() {
      stopped = true;
    },
    listOthers: () => [...known.values()].map(({ instance, address }) => ({ instance, address })),
    isLeaseHeld: () =>
      listed && renewedAt !== undefined && getElapsed() - renewedAt < HOLDER_LEASE_MS,
  };
}

function readAddress(value: Buffer): string | undefined {
  const address = readText(readFields(parseJson(value))?.address);
  return address !== undefined && isAddress(address) ? address : undefined;
}
