/** Descriptors that the system lets this process open. */
import { readFileSync } from 'node:fs';

const LIMITS_FILE = '/proc/self/limits';

/** Returns the limit; undefined where the system does not tell it. */
export function readDescriptorLimit(): number | undefined {
  try {
    const text = readFileSync(LIMITS_FILE, 'utf8');
    const [, limit] = /^Max open files\s+(\d+)/m.exec(text) ?? [];
    return limit === undefined ? undefined : Number(limit);
  } catch {
    // The file exists on Linux only.
    return undefined;
  }
}
