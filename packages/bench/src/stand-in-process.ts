/** Runs a stand-in as a separate process, so that its work is not measured with the caller's. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

/** A stand-in in a separate process. */
export interface StandInProcess {
  url: string;
  stop: () => Promise<void>;
}

/** Starts a stand-in and waits until it listens. */
export async function startStandInProcess(
  kind: 'engine' | 'service' | 'table' | 'objects',
  ...flags: string[]
): Promise<StandInProcess> {
  const main = fileURLToPath(import.meta.resolve('@masticbend/standins/main'));
  const child = spawn(process.execPath, [main, kind, ...flags], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = once(child, 'exit');
  const [line] = (await once(createInterface(child.stdout), 'line')) as [string];
  return {
    url: line,
    async stop() {
      child.kill('SIGTERM');
      await exited;
    },
  };
}
