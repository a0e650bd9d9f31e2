/**
 * Messages that pass the configuration on, in either direction, and leased shares of the accounts'
 * limits from agents to entries.
 */

/** Either direction: the configuration revision in force at the sender. */
export interface RevisionMessage {
  kind: 'revision';
  revision: number;
}

/** Either direction: requests the edits after a revision, or for 0 the complete document. */
export interface RevisionRequestMessage {
  kind: 'revision-request';
  revision: number;
}

/** Either direction: one committed edit, for a peer that has the previous revision in force. */
export interface ConfigurationEditMessage {
  kind: 'configuration-edit';
  revision: number;
  /** Digest of the document after the edit, in hexadecimal. */
  digest: string;
  /** The edit's operations in JSON. */
  operations: string;
}

/** Either direction: a chunk of a committed configuration document. */
export interface ConfigurationMessage {
  kind: 'configuration';
  revision: number;
  /** Digest of the complete document, in hexadecimal. */
  digest: string;
  /** Index of this chunk, from 0, and the number of chunks. */
  index: number;
  count: number;
  /** The chunk: part of the document in TOML. */
  text: string;
}

/**
 * Entry → agent: requests leased shares of accounts' limits, by the demand of the entry's callers.
 * The other lists are in the order of `accounts`.
 */
export interface QuotaRequestMessage {
  kind: 'quota-request';
  accounts: string[];
  /** Demand: requests and tokens per second, and concurrent requests. */
  requestRates: number[];
  tokenRates: number[];
  concurrencies: number[];
  /** Requested duration of the leases, in milliseconds. */
  validMs: number;
}

/** Agent → entry: leased shares of accounts' limits; lists are in the order of `accounts`. */
export interface QuotaMessage {
  kind: 'quota';
  accounts: string[];
  requestRates: number[];
  tokenRates: number[];
  concurrencies: number[];
  validMs: number;
  /** Number of entries connected to the agent. */
  entries: number;
}
