#!/usr/bin/env node
/** Command line of the agent: runs it, or checks its settings. */
import { existsSync } from 'node:fs';
import { checkAgentFiles } from '@masticbend/settings/check-files';
import { readAgentSettings } from '@masticbend/settings/process-settings';
import meow from 'meow';
import { createAgent } from './agent.js';

/** Exit codes. */
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const cli = meow(
  `
  Usage
    $ masticbend-agent --settings FILE           run the agent
    $ masticbend-agent --settings FILE --check   check the settings

  Options
    --settings FILE  settings of this process, in TOML
    --check          print every error in the settings, then exit

  Examples
    $ masticbend-agent --settings /etc/masticbend/agent.toml
    $ masticbend-agent --settings /etc/masticbend/agent.toml --check

  Exit codes
    0 done, 1 the check failed, 2 the command line is wrong
`,
  {
    importMeta: import.meta,
    flags: { settings: { type: 'string' }, check: { type: 'boolean', default: false } },
  },
);

const { settings, check } = cli.flags;

function checkSettings(path: string): number {
  const faults = checkAgentFiles(path);
  for (const fault of faults) process.stderr.write(`${fault}\n`);
  if (faults.length === 0) process.stdout.write(`${path}: ok\n`);
  return faults.length === 0 ? 0 : EXIT_FAILED;
}

async function runAgent(path: string): Promise<void> {
  const agent = await createAgent(readAgentSettings(path));
  await agent.start();
  const stop = async () => {
    await agent.stop();
    process.exit(0);
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

if (!settings) {
  process.stderr.write('--settings is missing; see masticbend-agent --help\n');
  process.exitCode = EXIT_USAGE;
} else if (!existsSync(settings)) {
  process.stderr.write(`${settings}: there is no such file\n`);
  process.exitCode = EXIT_FAILED;
} else if (check) process.exitCode = checkSettings(settings);
else await runAgent(settings);
