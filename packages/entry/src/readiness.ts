/**
 * Readiness check of an entry. An entry is ready once each model and service of the configuration
 * has an agent that can serve it, or once the grace period after the start has passed.
 */
import type { Clock } from '@masticbend/kernel/clock';
import type { Configuration } from '@masticbend/settings/configuration';

/** Time from the start after which a model or service without an agent does not delay readiness. */
export const STARTUP_GRACE_PERIOD_MS = 5_000;

/** Returns the readiness check of an entry that starts now. */
export function createReadiness(
  clock: Clock,
  canServe: (target: string) => boolean,
  getConfiguration: () => Configuration | undefined,
): () => boolean {
  const startedAt = clock.now();
  return () => {
    const configuration = getConfiguration();
    if (!configuration) return false;
    if (clock.now() - startedAt >= STARTUP_GRACE_PERIOD_MS) return true;
    const targets = Object.values(configuration.backendServers).flatMap(({ serves }) => serves);
    return [...new Set(targets)].every(canServe);
  };
}
