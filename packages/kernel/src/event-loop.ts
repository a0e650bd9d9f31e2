/** Order of work within the event loop of a process. */

/**
 * Runs a callback once everything that has arrived on open connections by now was read, up to one
 * read of each connection.
 */
export function runAfterReads(callback: () => void): void {
  // Immediates run after the reads of a turn, the first one possibly after those of this turn.
  setImmediate(() => setImmediate(callback));
}

/** Resolves once everything that has arrived on open connections by now was read. */
export function waitForReads(): Promise<void> {
  return new Promise(runAfterReads);
}
