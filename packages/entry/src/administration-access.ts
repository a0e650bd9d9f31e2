/**
 * Authentication and authorisation of the administration API. Operators send their team's token, of
 * which the configuration contains only the SHA-256. Each token is compared with the hashes of all
 * teams, and each comparison takes constant time.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { Configuration } from '@masticbend/settings/configuration';
import type { Section } from '@masticbend/settings/section';

/** Returns the team a bearer token belongs to. */
export function findTeam(
  configuration: Configuration,
  authorization: string | undefined,
): string | undefined {
  const token = /^Bearer (.+)$/.exec(authorization ?? '')?.[1];
  if (token === undefined) return undefined;
  const digest = createHash('sha256').update(token).digest();
  let found: string | undefined;
  for (const [team, { tokenHashes }] of Object.entries(configuration.teams)) {
    for (const hash of tokenHashes) {
      if (timingSafeEqual(digest, Buffer.from(hash, 'hex'))) found = team;
    }
  }
  return found;
}

/** Returns the teams that may edit a section. */
export function listOwners(configuration: Configuration, section: Section): string[] {
  const teams = Object.entries(configuration.teams);
  return teams.filter(([, { sections }]) => sections.includes(section)).map(([team]) => team);
}
