/** How an HTTP answer shows where its body ends. */
import type { HeaderMap } from '@masticbend/platform/ingress';

export const Framing = {
  Length: 'length',
  Chunked: 'chunked',
  /** The body ends with the connection. */
  Connection: 'connection',
} as const;
export type Framing = (typeof Framing)[keyof typeof Framing];

/** Reads the framing of an answer that has a body. */
export function readFraming(headers: HeaderMap): Framing {
  if (headers['transfer-encoding'] !== undefined) return Framing.Chunked;
  return headers['content-length'] === undefined ? Framing.Connection : Framing.Length;
}
