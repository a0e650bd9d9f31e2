/**
 * Proofs of mesh membership: an HMAC over the peer's nonce and the sender's name. The mesh secret
 * is never sent, and a recorded proof cannot be replayed on another connection.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

const NONCE_BYTES = 16;

/** Returns a random nonce in hexadecimal. */
export function createNonce(): string {
  return randomBytes(NONCE_BYTES).toString('hex');
}

/** Returns the proof, in hexadecimal, that the sender `name` knows the secret. */
export function createProof(secret: string, nonce: string, name: string): string {
  return createHmac('sha256', secret).update(`${nonce}\n${name}`).digest('hex');
}

/** Returns whether a proof is valid; compares in constant time. */
export function isValidProof(secret: string, nonce: string, name: string, proof: string): boolean {
  const expected = Buffer.from(createProof(secret, nonce, name));
  const actual = Buffer.from(proof);
  return actual.length === expected.length && timingSafeEqual(actual, expected);
}
