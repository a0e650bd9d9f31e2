/**
 * Shares the origins of streams between the entries, so that a caller can take up its stream at any
 * of them, also after the loss of the entry that began it. Each origin is copied to a few entries,
 * chosen by rendezvous hashing of the stream's id; another entry asks these.
 */
import type { Clock } from '@masticbend/kernel/clock';
import type {
  StreamOriginMessage,
  StreamOriginReadMessage,
  StreamOriginsMessage,
} from '@masticbend/protocol/gateway-message';
import type { Message } from '@masticbend/protocol/message';
import { rankNames } from '@masticbend/scheduling/rendezvous';
import { createStreamOrigins, type StreamOrigin } from '@masticbend/scheduling/stream-origins';

/** Number of entries that keep a copy; all but one of them may be lost at the same time. */
const HOLDERS = 3;
/** Time for which new origins are collected before they are copied. */
const COPY_DELAY_MS = 50;
/** Time after which holders that have not answered are given up. */
const LOOKUP_TIMEOUT_MS = 250;

/** Messages about origins. */
export type OriginMessage = StreamOriginsMessage | StreamOriginReadMessage | StreamOriginMessage;

/** Result of a lookup. */
export type OriginLookup =
  | { kind: 'known'; origin: StreamOrigin }
  /** No entry that should hold it knows the origin. */
  | { kind: 'unknown' }
  /** Some of these entries did not answer. */
  | { kind: 'unanswered' };

/** Origins of streams that this entry and its peers know. */
export interface OriginExchange {
  /** Records the origin of a stream that this entry relays. */
  record: (stream: string, origin: StreamOrigin) => void;
  /** Calls `onFound` once, at once if no other entry has to be asked. */
  find: (stream: string, onFound: (result: OriginLookup) => void) => void;
  receive: (peer: string, message: OriginMessage) => void;
  stop: () => void;
  dump: () => unknown;
}

/** Dependencies of the exchange. */
export interface OriginExchangeOptions {
  self: string;
  clock: Clock;
  /** Names of the entries that are connected. */
  listLive: () => string[];
  send: (peer: string, message: Message) => void;
}

interface Lookup {
  /** Holders that have not answered. */
  pending: Set<string>;
  stopTimer: () => void;
  callbacks: ((result: OriginLookup) => void)[];
}

/** Returns an exchange without origins. */
export function createOriginExchange(options: OriginExchangeOptions): OriginExchange {
  const { self, clock, listLive, send } = options;
  const origins = createStreamOrigins();
  const lookups = new Map<string, Lookup>();
  /** Streams whose origins were not copied yet. */
  let uncopied: string[] = [];
  let stopCopyTimer: (() => void) | undefined;

  function listHolders(stream: string): string[] {
    const holders = rankNames(stream, [self, ...listLive()]).slice(0, HOLDERS);
    return holders.filter((name) => name !== self);
  }

  function sendCopies(): void {
    stopCopyTimer = undefined;
    const now = clock.now();
    const messages = new Map<string, { holder: string; message: StreamOriginsMessage }>();
    for (const stream of uncopied) {
      const origin = origins.find(now, stream);
      for (const holder of origin ? listHolders(stream) : []) {
        const { service, softwareVersion } = origin!;
        const key = [holder, service, softwareVersion].join(' ');
        const copy = messages.get(key)?.message ?? createCopy(origin!);
        copy.streams.push(stream);
        messages.set(key, { holder, message: copy });
      }
    }
    uncopied = [];
    for (const { holder, message } of messages.values()) send(holder, message);
  }

  function finishLookup(stream: string, result: OriginLookup): void {
    const lookup = lookups.get(stream);
    if (!lookup) return;
    lookups.delete(stream);
    lookup.stopTimer();
    for (const onFound of lookup.callbacks) onFound(result);
  }

  function answerRead(peer: string, stream: string): void {
    const origin = origins.find(clock.now(), stream);
    const { service = '', softwareVersion = '' } = origin ?? {};
    const isKnown = origin !== undefined;
    send(peer, { kind: 'stream-origin', stream, isKnown, service, softwareVersion });
  }

  function receiveAnswer(peer: string, message: StreamOriginMessage): void {
    const { stream, isKnown, service, softwareVersion } = message;
    if (isKnown) {
      origins.set(clock.now(), stream, { service, softwareVersion });
      finishLookup(stream, { kind: 'known', origin: { service, softwareVersion } });
      return;
    }
    const pending = lookups.get(stream)?.pending;
    pending?.delete(peer);
    if (pending?.size === 0) finishLookup(stream, { kind: 'unknown' });
  }

  return {
    record(stream, origin) {
      origins.set(clock.now(), stream, origin);
      uncopied.push(stream);
      stopCopyTimer ??= clock.startTimer(COPY_DELAY_MS, sendCopies);
    },
    find(stream, onFound) {
      const origin = origins.find(clock.now(), stream);
      const holders = origin ? [] : listHolders(stream);
      if (holders.length === 0) {
        onFound(origin ? { kind: 'known', origin } : { kind: 'unknown' });
        return;
      }
      const lookup = lookups.get(stream);
      if (lookup) {
        lookup.callbacks.push(onFound);
        return;
      }
      const stopTimer = clock.startTimer(LOOKUP_TIMEOUT_MS, () =>
        finishLookup(stream, { kind: 'unanswered' }),
      );
      lookups.set(stream, { pending: new Set(holders), stopTimer, callbacks: [onFound] });
      for (const holder of holders) send(holder, { kind: 'stream-origin-read', stream });
    },
    receive(peer, message) {
      if (message.kind === 'stream-origin-read') answerRead(peer, message.stream);
      else if (message.kind === 'stream-origin') receiveAnswer(peer, message);
      else {
        const { streams, service, softwareVersion } = message;
        const now = clock.now();
        for (const stream of streams) origins.set(now, stream, { service, softwareVersion });
      }
    },
    stop() {
      stopCopyTimer?.();
      for (const { stopTimer } of lookups.values()) stopTimer();
    },
    dump: () => ({ origins: origins.count(), lookups: lookups.size }),
  };
}

/** Returns whether a message is about the origins of streams. */
export function isOriginMessage(message: Message): message is OriginMessage {
  const { kind } = message;
  return kind === 'stream-origins' || kind === 'stream-origin-read' || kind === 'stream-origin';
}

function createCopy({ service, softwareVersion }: StreamOrigin): StreamOriginsMessage {
  return { kind: 'stream-origins', service, softwareVersion, streams: [] };
}
