/** Checks of a request by its head, before its body is read. */
import type { IncomingMessage } from 'node:http';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import { HEADER_LINE_OVERHEAD_BYTES, type CallerLimits } from '@masticbend/settings/routing';

/** An expectation of an interim answer, alone or in a list. */
const CONTINUE_EXPECTATION = /(?:^|\W)100-continue(?:$|\W)/i;
/** Name of a header field (RFC 9110, section 5.1). */
const FIELD_NAME = /^[!#$%&'*+\-.^_`|~\w]+$/;

/**
 * Returns whether a field has a malformed name. The parser of some releases of Node, for example
 * 20.19.0, accepts an empty name and a space before the colon. A backend server that ignores the
 * space would see another head than the entry (RFC 9112, section 5.1).
 */
export function hasMalformedName({ rawHeaders }: IncomingMessage): boolean {
  return rawHeaders.some((text, index) => index % 2 === 0 && !FIELD_NAME.test(text));
}

/** Callers of HTTP/1.0 know no interim answers (RFC 9110, section 10.1.1). */
export function isContinueExpected({ headers, httpVersion }: IncomingMessage): boolean {
  return httpVersion === '1.1' && CONTINUE_EXPECTATION.test(headers.expect ?? '');
}

/** Returns why a request is refused by its head, if it is. */
export function checkRequestHead(
  request: IncomingMessage,
  limits: CallerLimits,
): Failure | undefined {
  if (request.httpVersion === '1.1' && request.headers.host === undefined) {
    return { kind: ErrorKind.InvalidRequest };
  }
  const bytes = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
  const headerLines = request.rawHeaders.length / 2;
  if (bytes + headerLines * HEADER_LINE_OVERHEAD_BYTES > limits.headerBytes) {
    return { kind: ErrorKind.HeadersTooLarge };
  }
  if (Number(request.headers['content-length'] ?? 0) > limits.bodyBytes) {
    return { kind: ErrorKind.BodyTooLarge };
  }
  return undefined;
}
