// Prints the processor time and memory that the bundled entry has used when it starts to listen.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';

/** Clock tick of the processor times in /proc. */
const CLOCK_TICK_MS = 10;
const RUNS = 5;
/** An address without a listener: the entry starts while its store is unreachable. */
const STORE_ADDRESS = '127.0.0.1:9';

const settings = join(mkdtempSync(join(tmpdir(), 'masticbend-start-')), 'entry.toml');
writeFileSync(
  settings,
  `instance = "start-cost"
dataCentre = "here"
callerAddress = "127.0.0.1:18321"
readinessAddress = "127.0.0.1:18322"
meshAddress = "127.0.0.1:18323"
metricsAddress = "127.0.0.1:18324"
storeAddress = "${STORE_ADDRESS}"
[bounds]
graceS = 8
keyFreshnessMs = 5000
configurationMs = 2000
leavingMs = 2000
repeatRatio = 0.2
repeatSlack = 58
repeatWindowS = 10
limitWindowS = 8
`,
);

function measureStart() {
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, ['target/masticbend-entry.cjs', settings]);
    child.once('error', reject);
    child.stdout.on('data', (text) => {
      if (!String(text).includes('process-started')) return;
      const stat = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(') ')[1].split(' ');
      const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
      child.kill('SIGKILL');
      resolve({
        processorMs: (Number(stat[11]) + Number(stat[12])) * CLOCK_TICK_MS,
        memoryMb: Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)[1]) / 1_024),
      });
    });
  });
}

for (let run = 0; run < RUNS; run += 1) {
  const { processorMs, memoryMb } = await measureStart();
  process.stdout.write(`${processorMs} ms of processor time, ${memoryMb} MB\n`);
}
