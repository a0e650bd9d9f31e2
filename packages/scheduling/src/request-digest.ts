/**
 * Identity of a whole request: what a backend server runs, whichever attempt brings it to whichever
 * instance. Headers that differ between attempts, such as the attempt id or the time left, do not
 * belong to it; nor do the parts of a prompt that are named apart from a body, since the body holds
 * the prompt. The client account does, so that no account can harm the requests of another.
 */
import { createHash } from 'node:crypto';

/** Characters of a digest: 128 bits. */
const DIGEST_CHARACTERS = 32;
/** Prefix of digests among the suspects of crashes; ids of prompt parts have no colon. */
const SUSPECT_PREFIX = 'request:';

/** What belongs to the identity of a request. */
export interface RequestIdentity {
  method: string;
  host: string;
  /** Path with query. */
  target: string;
  /** Name of the client account; empty for an anonymous caller. */
  account: string;
  /** Parts of the prompt; they stand for the body of a request that has none. */
  prompt: readonly { id: string }[];
  body: Buffer;
}

/** Returns the digest of a request's identity. */
export function hashRequest(identity: RequestIdentity): string {
  const { method, host, target, account, prompt, body } = identity;
  const named = body.length === 0 ? prompt.map(({ id }) => id) : [];
  const head = JSON.stringify([method, host, target, account, ...named]);
  return createHash('sha256')
    .update(`${head}\n`)
    .update(body)
    .digest('hex')
    .slice(0, DIGEST_CHARACTERS);
}

/** Returns the suspect that stands for a whole request in the evidence of crashes. */
export function formatRequestSuspect(digest: string): string {
  return `${SUSPECT_PREFIX}${digest}`;
}

/** Returns whether a suspect is a whole request, and not a part of prompts. */
export function isRequestSuspect(suspect: string): boolean {
  return suspect.startsWith(SUSPECT_PREFIX);
}
