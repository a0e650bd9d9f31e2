#!/usr/bin/env node
/** Command line of the stand-ins: runs one in its own process until SIGTERM or SIGINT. */
import meow from 'meow';
import { startEngine } from './engine.js';
import { startObjectStore } from './object-store.js';
import { startService } from './service.js';
import { startTable } from './table.js';

const cli = meow(
  `
  Usage
    $ masticbend-standin engine|service|table|objects --port PORT

  Options
    --port             port on loopback, 0 for any
    --work-ms          service: time of each call
    --prefill-rate     engine: prompt tokens per second
    --step-ms          engine: time of one decode step
    --step-per-call-ms engine: what each further call adds to a step

  Example
    $ masticbend-standin engine --port 9000 --prefill-rate 8000 --step-ms 8
`,
  {
    importMeta: import.meta,
    flags: {
      port: { type: 'number', default: 0 },
      workMs: { type: 'number', default: 0 },
      prefillRate: { type: 'number', default: 8_000 },
      stepMs: { type: 'number', default: 8 },
      stepPerCallMs: { type: 'number', default: 0.5 },
    },
  },
);

async function startNamed(kind: string | undefined) {
  const { port, workMs, prefillRate, stepMs, stepPerCallMs } = cli.flags;
  if (kind === 'engine') return startEngine({ port, prefillRate, stepMs, stepPerCallMs });
  if (kind === 'service') return startService(port, workMs);
  if (kind === 'table') return startTable(port);
  if (kind === 'objects') return startObjectStore(port);
  return cli.showHelp();
}

const standIn = await startNamed(cli.input[0]);
process.stdout.write(`${standIn.url}\n`);

async function stop(): Promise<void> {
  await standIn.close();
  process.exit(0);
}

process.once('SIGTERM', stop);
process.once('SIGINT', stop);
