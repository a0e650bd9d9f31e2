/**
 * Membership: the entries of the deployment, by their rows in the store. Each entry renews
 * its own row; an entry whose row stays unchanged for the duration of the lease is no longer a
 * member. An entry that failed to renew its row in time must not admit requests by shared limits,
 * since the other entries may have taken over its share.
 */
import { startPause, type Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { parseJson, readFields, readNumber, readText } from '@masticbend/platform/decode';
import { checkMessage } from '@masticbend/protocol/shape';
import type { SuspectEvidence } from '@masticbend/scheduling/suspect-record';
import { isAddress } from '@masticbend/settings/address';
import { createMessage } from './crash-outbox.js';
import type { EraStore } from './store-era.js';

/** Table of the entries; the key is the instance name. */
const MEMBERS_TABLE = 'entries';
/** Interval at which the row is renewed. */
const RENEWAL_INTERVAL_MS = 3_000;
/**
 * Interval at which the table is read while all known entries are connected; otherwise it is read
 * at each renewal. An entry that is connected needs no renewal of its row to remain a member.
 */
const CONNECTED_READ_INTERVAL_MS = 7_500;
/** Time after its first renewal from which all others with a valid lease count a new entry. */
const JOIN_MS = CONNECTED_READ_INTERVAL_MS + RENEWAL_INTERVAL_MS;
/** Delay of the renewal after a restoration of the store: a random part of this time. */
const REWRITE_SPREAD_MS = 500;
/** Delay after a failed renewal or read. */
const RETRY_DELAY_MS = 300;
/** Age of its last renewal from which an entry considers its own lease expired. */
export const OWN_LEASE_MS = 8_000;
/**
 * Time without a renewal after which the other entries consider its lease expired. It is longer
 * than the entry's own, so that the entry stops before the others take over its share.
 */
export const PEER_LEASE_MS = 11_000;

/** An entry of the deployment. */
export interface Member {
  instance: string;
  /** Mesh address as `IP:port`. */
  address: string;
}

/** Membership of the deployment. */
export interface Members {
  start: () => void;
  stop: () => void;
  /** Renews the row and reads the table now, unless that is in progress. */
  refresh: () => void;
  /** Other entries whose lease has not expired. */
  listOthers: () => Member[];
  /** Returns whether the table was read after the own row was written. */
  areOthersKnown: () => boolean;
  /**
   * Returns whether the other entries count this one by its row: they have had the time to read it,
   * or an earlier process of this instance was a member until a moment ago.
   */
  isCountedByRow: () => boolean;
  /** Returns whether this entry's own lease is valid and the other entries are known. */
  isLeaseHeld: () => boolean;
}

/** Dependencies of the membership. */
export interface MembersOptions {
  store: Pick<EraStore, 'readRows' | 'writeRow' | 'onRestored'>;
  self: Member;
  incarnation: string;
  clock: Clock;
  /** Elapsed milliseconds, including time in which the machine was suspended. */
  getElapsed: () => number;
  log: Logger;
  drawRandom: () => number;
  /** Names of the entries that are connected and report. */
  listLive: () => string[];
  /** Blocked suspects of crashes, kept in the row; they are read with the rows of the others. */
  listBlocked: () => SuspectEvidence[];
  onBlocked: (evidence: SuspectEvidence[]) => void;
  onChange: () => void;
}

interface KnownMember extends Member {
  revision: number;
  renewedAt: number;
}

/** Returns a membership whose row has not been written yet. */
export function createMembers(options: MembersOptions): Members {
  const { store, self, incarnation, clock, getElapsed, log, drawRandom, listLive, onChange } =
    options;
  const { listBlocked, onBlocked } = options;
  const knownMembers = new Map<string, KnownMember>();
  let renewedAt: number | undefined;
  /** Time of the first renewal; -Infinity where an earlier process was a member. */
  let joinedAt: number | undefined;
  /** Latest time of the store that is known; it is written into the row. */
  let storeTimeMs = 0;
  let readAt = -Infinity;
  /**
   * Set once the table was read after the own row was written: all other members are then known.
   */
  let areOthersKnown = false;
  /** The store was restored since the last read; rows may have changed without a renewal. */
  let isRestored = false;
  let wake = () => {};
  let stopped = false;

  async function refreshLease(): Promise<boolean> {
    const sentAt = getElapsed();
    const row = {
      address: self.address,
      incarnation,
      storeTimeMs,
      blocked: listBlocked(),
    };
    const value = Buffer.from(JSON.stringify(row));
    const result = await store.writeRow(MEMBERS_TABLE, self.instance, value);
    if (result.kind !== 'committed') return false;
    renewedAt = sentAt;
    joinedAt ??= sentAt;
    storeTimeMs = Math.max(storeTimeMs, result.storeTimeMs);
    return true;
  }

  /** Reads what earlier processes knew; the first renewal replaces this instance's part of it. */
  async function readEarlierFacts(): Promise<boolean> {
    const result = await store.readRows(MEMBERS_TABLE);
    if (result.kind !== 'rows') return false;
    for (const { value } of result.rows.rows) onBlocked(readBlocked(value));
    storeTimeMs = result.rows.storeTimeMs;
    const own = result.rows.rows.find(({ key }) => key === self.instance);
    // Rows that a peer has read come without the store's time.
    const ageMs = own && storeTimeMs > 0 ? storeTimeMs - readStoreTimeMs(own.value) : Infinity;
    if (ageMs >= 0 && ageMs < PEER_LEASE_MS) joinedAt = -Infinity;
    return true;
  }

  async function refreshMembers(): Promise<boolean> {
    const result = await store.readRows(MEMBERS_TABLE);
    if (result.kind !== 'rows') return false;
    const now = clock.now();
    for (const { key, value, revision } of result.rows.rows) {
      if (key !== self.instance) {
        if (knownMembers.get(key)?.revision !== revision) onBlocked(readBlocked(value));
        updateMember(key, readAddress(value), revision, now);
      }
    }
    isRestored = false;
    readAt = now;
    dropExpired(now);
    areOthersKnown ||= renewedAt !== undefined;
    return true;
  }

  function updateMember(
    instance: string,
    address: string | undefined,
    revision: number,
    now: number,
  ): void {
    const member = knownMembers.get(instance);
    if (address === undefined || member?.revision === revision) return;
    const seenAt = isRestored && member ? member.renewedAt : now;
    knownMembers.set(instance, { instance, address, revision, renewedAt: seenAt });
    if (member?.address === address) return;
    log.info(LogEvent.MemberChanged, { peer: instance, address, change: 'seen', revision });
    onChange();
  }

  function dropExpired(now: number): void {
    for (const { instance, renewedAt: seenAt, revision } of [...knownMembers.values()]) {
      if (now - seenAt > PEER_LEASE_MS) {
        knownMembers.delete(instance);
        const ageMs = Math.round(now - seenAt);
        log.info(LogEvent.MemberChanged, { peer: instance, change: 'lapsed', revision, ageMs });
        onChange();
      }
    }
  }

  async function run(): Promise<void> {
    while (!stopped && !(await readEarlierFacts())) {
      await startPause(clock, RETRY_DELAY_MS).ended;
    }
    while (!stopped) {
      const renewed = await refreshLease();
      const refreshed = !isReadDue() || (await refreshMembers());
      const pause = startPause(clock, renewed && refreshed ? chooseDelayMs() : RETRY_DELAY_MS);
      wake = pause.end;
      await pause.ended;
    }
  }

  /** Writes the own row again, which a restored store may have lost, spread in time. */
  function handleRestoration(): void {
    isRestored = true;
    clock.startTimer(drawRandom() * REWRITE_SPREAD_MS, () => wake());
  }

  /** Counts connected entries as renewed, and returns whether the table has to be read. */
  function isReadDue(): boolean {
    const now = clock.now();
    const live = new Set(listLive());
    let areAllLive = true;
    for (const member of knownMembers.values()) {
      if (live.has(member.instance)) member.renewedAt = now;
      else areAllLive = false;
    }
    const isKnown = areOthersKnown && areAllLive && !isRestored && knownMembers.size > 0;
    return !isKnown || now - readAt >= CONNECTED_READ_INTERVAL_MS;
  }

  /**
   * Uses the short delay until another entry is known, so that entries that start together find
   * each other soon.
   */
  function chooseDelayMs(): number {
    return knownMembers.size === 0 ? RETRY_DELAY_MS : RENEWAL_INTERVAL_MS;
  }

  return {
    start() {
      store.onRestored(handleRestoration);
      run().catch((error: Error) => {
        log.error(LogEvent.ProcessFailed, { service: 'members', error: error.message });
        throw error;
      });
    },
    stop() {
      stopped = true;
    },
    refresh: () => wake(),
    listOthers: () =>
      [...knownMembers.values()].map(({ instance, address }) => ({ instance, address })),
    areOthersKnown: () => areOthersKnown,
    isCountedByRow: () => joinedAt !== undefined && getElapsed() - joinedAt >= JOIN_MS,
    isLeaseHeld: () =>
      areOthersKnown && renewedAt !== undefined && getElapsed() - renewedAt < OWN_LEASE_MS,
  };
}

function readAddress(value: Buffer): string | undefined {
  const address = readText(readFields(parseJson(value))?.address);
  return address !== undefined && isAddress(address) ? address : undefined;
}

/** Returns the store's time in a row, which is earlier than its last renewal; 0 for none. */
function readStoreTimeMs(value: Buffer): number {
  return readNumber(readFields(parseJson(value))?.storeTimeMs) ?? 0;
}

function readBlocked(value: Buffer): SuspectEvidence[] {
  const blocked = readFields(parseJson(value))?.blocked;
  return (Array.isArray(blocked) ? blocked : []).flatMap((each) => {
    const fields = readFields(each) ?? {};
    const { suspect, part, crashes, refuted, trials, lostTrials, failedTrials } = fields;
    // Entries of an earlier build store parts of prompts only, as `part`.
    const name = readText(suspect ?? part);
    if (name === undefined) return [];
    const evidence = {
      suspect: name,
      crashes: readTexts(crashes),
      refuted: readTexts(refuted),
      trials: readCount(trials),
      lostTrials: readCount(lostTrials ?? failedTrials),
      failedTrials: readCount(failedTrials),
    };
    // Entries pass it on to each other, and close a link on what they refuse.
    return checkMessage(createMessage([evidence])) === undefined ? [evidence] : [];
  });
}

function readCount(value: unknown): number {
  return typeof value === 'number' ? value : 0;
}

function readTexts(value: unknown): string[] {
  return Array.isArray(value) ? value.filter((each) => typeof each === 'string') : [];
}
