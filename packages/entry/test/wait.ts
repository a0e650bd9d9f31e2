/** Helpers that wait for a condition or for a duration. */
const CHECK_INTERVAL_MS = 5;
const TIMEOUT_MS = 10_000;

/** Resolves once `isMet` returns true; rejects after ten seconds and names `description`. */
export async function waitUntil(isMet: () => boolean, description: string): Promise<void> {
  const end = performance.now() + TIMEOUT_MS;
  while (!isMet()) {
    if (performance.now() > end) throw new Error(`timed out waiting for ${description}`);
    await waitFor(CHECK_INTERVAL_MS);
  }
}

export function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
