/**
 * Sends request bodies to agents in chunks, no faster than each agent reads, so that a large body
 * does not fill the send buffer of a connection that it shares with other requests.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { MAX_CHUNK_BYTES, type Message } from '@masticbend/protocol/message';

/** Interval at which a paused body checks whether the send buffer has room again. */
const BUFFER_CHECK_INTERVAL_MS = 5;

/** Dependencies of the body sender. */
export interface BodySenderOptions {
  clock: Clock;
  send: (agent: string, message: Message) => boolean;
  /** Returns the bytes buffered for sending to an agent. */
  countBufferedBytes: (agent: string) => number;
}

/** Sends one body; stops once `isGrantActive` returns false. */
export type SendBody = (
  request: { id: string; body: Buffer },
  agent: string,
  isGrantActive: () => boolean,
) => void;

/** Returns a sender that pauses while `maxBufferedBytes` or more are buffered for an agent. */
export function createBodySender(options: BodySenderOptions, maxBufferedBytes: number): SendBody {
  const { clock, send, countBufferedBytes } = options;
  return ({ id, body }, agent, isGrantActive) => {
    let offset = 0;
    function sendChunks(): void {
      while (offset < body.length && countBufferedBytes(agent) < maxBufferedBytes) {
        const data = body.subarray(offset, offset + MAX_CHUNK_BYTES);
        offset += MAX_CHUNK_BYTES;
        send(agent, { kind: 'body', request: id, data, last: offset >= body.length });
      }
      if (offset >= body.length) return;
      clock.startTimer(BUFFER_CHECK_INTERVAL_MS, () => {
        if (isGrantActive()) sendChunks();
      });
    }
    sendChunks();
  };
}
