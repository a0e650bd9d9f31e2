/**
 * Finds the client account of an API key. The configuration contains only the SHA-256 of each key.
 * An index by hash is built once for each configuration, so that a lookup neither scans accounts
 * nor compares secrets.
 */
import { createHash } from 'node:crypto';
import type { AccountConfiguration, Configuration } from '@masticbend/settings/configuration';

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/i;

/** A client account and its settings in force. */
export interface ClientAccount {
  account: string;
  settings: AccountConfiguration;
}

/** Finds the account of an Authorization header. */
export type AccountFinder = (
  configuration: Configuration,
  authorization: string | undefined,
) => ClientAccount | undefined;

/** Returns a finder that caches the index of the last configuration it was called with. */
export function createAccountFinder(): AccountFinder {
  let indexedConfiguration: Configuration | undefined;
  let index = new Map<string, ClientAccount>();
  return (configuration, authorization) => {
    const token = BEARER_PATTERN.exec(authorization ?? '')?.[1];
    if (token === undefined) return undefined;
    if (configuration !== indexedConfiguration) {
      index = createIndex(configuration);
      indexedConfiguration = configuration;
    }
    return index.get(createHash('sha256').update(token).digest('hex'));
  };
}

function createIndex(configuration: Configuration): Map<string, ClientAccount> {
  const index = new Map<string, ClientAccount>();
  for (const [account, settings] of Object.entries(configuration.accounts)) {
    for (const hash of settings.keyHashes) index.set(hash, { account, settings });
  }
  return index;
}
