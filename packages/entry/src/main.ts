#!/usr/bin/env node
/** Command line of the entry: runs an entry, checks its settings, or calls a running entry. */
import { existsSync, readFileSync } from 'node:fs';
import { checkEntryFiles } from '@masticbend/settings/check-files';
import { readEntrySettings } from '@masticbend/settings/process-settings';
import meow from 'meow';
import { createEntry } from './entry.js';
import { isCommand, runCommand, UsageError } from './operator-command.js';

/** Exit codes. */
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const DEFAULT_ADDRESS = '127.0.0.1:7301';
const TOKEN_VARIABLE = 'MASTICBEND_TOKEN';

const cli = meow(
  `
  Usage
    $ masticbend-entry --settings FILE           serve
    $ masticbend-entry --settings FILE --check   check the settings and the first configuration
    $ masticbend-entry COMMAND [options]         call a running entry

  Commands
    show [SECTION]   the configuration in force
    validate         check an edit without making it
    edit             change keys of a section
    history          the last edits
    leaving          backend servers that take no new work
    drain NAME       let a backend server take no new work (--undo ends it)
    dump             the state of the entry

  Options
    --settings FILE    settings of this process, in TOML
    --address IP:PORT  administration address to call (default ${DEFAULT_ADDRESS})
    --token-file FILE  file with the team's token (default: ${TOKEN_VARIABLE} in the environment)
    --section NAME     section to edit or validate
    --set KEY=JSON     new value of a key; may be repeated
    --remove KEY       key to remove; may be repeated
    --against N        revision the edit was made against (default: the one in force)
    --edit-id ID       repeat it when an answer was lost; the edit runs once
    --author NAME      name kept in the history (default: the login name)
    --limit N          number of edits in the history
    --json             print the answer as JSON

  Examples
    $ masticbend-entry --settings /etc/masticbend/entry.toml
    $ masticbend-entry show accounts --address 10.1.0.5:7301
    $ masticbend-entry edit --section tiers --set 'slow={"rank":2,"deadlineMs":60000}'
    $ masticbend-entry drain engine-3

  Exit codes
    0 done, 1 the check or the call failed, 2 the command line is wrong
`,
  {
    importMeta: import.meta,
    flags: {
      settings: { type: 'string' },
      check: { type: 'boolean', default: false },
      address: { type: 'string', default: DEFAULT_ADDRESS },
      tokenFile: { type: 'string' },
      section: { type: 'string' },
      set: { type: 'string', isMultiple: true },
      remove: { type: 'string', isMultiple: true },
      against: { type: 'number' },
      editId: { type: 'string' },
      author: { type: 'string' },
      limit: { type: 'number' },
      undo: { type: 'boolean', default: false },
      json: { type: 'boolean', default: false },
    },
  },
);

const { flags, input } = cli;

async function runOperator(): Promise<number> {
  try {
    const token = flags.tokenFile
      ? readFileSync(flags.tokenFile, 'utf8').trim()
      : (process.env[TOKEN_VARIABLE] ?? '');
    const target = { address: flags.address, token };
    const { ok, text } = await runCommand(target, input, flags, flags.json);
    process.stdout.write(`${text}\n`);
    return ok ? 0 : EXIT_FAILED;
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    return error instanceof UsageError ? EXIT_USAGE : EXIT_FAILED;
  }
}

function checkSettings(path: string): number {
  const faults = checkEntryFiles(path);
  for (const fault of faults) process.stderr.write(`${fault}\n`);
  if (faults.length === 0) process.stdout.write(`${path}: ok\n`);
  return faults.length === 0 ? 0 : EXIT_FAILED;
}

async function runEntry(path: string): Promise<void> {
  const entry = await createEntry(readEntrySettings(path));
  await entry.start();
  const stop = async () => {
    await entry.stop();
    process.exit(0);
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

if (isCommand(input[0])) process.exitCode = await runOperator();
else if (input.length > 0 || !flags.settings) {
  const found = input[0] === undefined ? '--settings is missing' : `unknown command "${input[0]}"`;
  process.stderr.write(`${found}; see masticbend-entry --help\n`);
  process.exitCode = EXIT_USAGE;
} else if (!existsSync(flags.settings)) {
  process.stderr.write(`${flags.settings}: there is no such file\n`);
  process.exitCode = EXIT_FAILED;
} else if (flags.check) process.exitCode = checkSettings(flags.settings);
else await runEntry(flags.settings);
