/** How an HTTP answer shows where its body ends. */
import type { HeaderMap } from '@masticbend/platform/ingress';

export const Framing = {
  Length: 'length',
  Chunked: 'chunked',
  /** The body ends with the connection. */
  Connection: 'connection',
} as const;
export type Framing = (typeof Framing)[keyof typeof Framing];

const LAST_CODING_CHUNKED = /(^|,)\s*chunked\s*$/i;

/** Reads the framing of an answer that has a body, as defined in RFC 9112, section 6.3. */
export function readFraming(headers: HeaderMap): Framing {
  const codings = headers['transfer-encoding'];
  if (codings !== undefined) {
    return LAST_CODING_CHUNKED.test(String(codings)) ? Framing.Chunked : Framing.Connection;
  }
  return headers['content-length'] === undefined ? Framing.Connection : Framing.Length;
}
