/**
 * Target of a caller's request. A target in absolute form names its host itself and replaces the
 * host header (RFC 9112, section 3.2.2); it is passed on in origin form.
 */
import type { IncomingMessage } from 'node:http';

const ABSOLUTE_FORM = /^https?:\/\/([^/?#]+)(.*)$/i;

/** Where a request goes, and its headers as they are passed on. */
export interface RequestTarget {
  host: string;
  /** Path with query. */
  target: string;
  rawHeaders: readonly string[];
}

/** Returns the target of a request in either form. */
export function readTarget({ url = '/', headers, rawHeaders }: IncomingMessage): RequestTarget {
  const [, host, path = ''] = ABSOLUTE_FORM.exec(url) ?? [];
  if (host === undefined) return { host: headers.host ?? '', target: url, rawHeaders };
  return {
    host,
    target: path.startsWith('/') ? path : `/${path}`,
    rawHeaders: replaceHost(rawHeaders, host),
  };
}

function replaceHost(rawHeaders: readonly string[], host: string): string[] {
  return rawHeaders.map((text, index) => {
    const isHost = index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === 'host';
    return isHost ? host : text;
  });
}
