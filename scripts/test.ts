/**
 * Runs the test suites; the last line of the output is `N passed, N failed`. Failures listed in
 * KNOWN-RED.txt are printed but do not fail the run. A listed test that passes or does not exist,
 * or a skipped test, fails the run.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const ALL_TESTS = ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts'];
const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const report = join(mkdtempSync(join(tmpdir(), 'masticbend-tests-')), 'report.json');

/** Returns the full titles of known failures, from lines of the form `test: TITLE`. */
function readKnownRed(): Set<string> {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  const titles = lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice(6));
  return new Set(titles.map((title) => title.trim()));
}

const args = process.argv.slice(2);
const run = spawnSync(
  'npx',
  [
    'mocha',
    '--reporter',
    'json',
    '--reporter-option',
    `output=${report}`,
    ...(args.length > 0 ? args : ALL_TESTS),
  ],
  { stdio: ['ignore', 'ignore', 'inherit'], env: { ...process.env, CI: 'true' } },
);
if (!existsSync(report)) {
  console.log('the test runner ended without a report');
  console.log('0 passed, 1 failed');
  process.exit(run.status || 1);
}

interface TestReport {
  fullTitle: string;
  err: { message?: string; stack?: string };
}

interface Report {
  stats: { suites: number; duration: number };
  failures: TestReport[];
  passes: TestReport[];
  pending: TestReport[];
}

const { stats, failures, passes, pending } = JSON.parse(readFileSync(report, 'utf8')) as Report;
const knownRed = readKnownRed();
const unexpected = failures.filter(({ fullTitle }) => !knownRed.has(fullTitle));
const expected = failures.filter(({ fullTitle }) => knownRed.has(fullTitle));
const failedTitles = new Set(expected.map(({ fullTitle }) => fullTitle));
const stale = [...knownRed].filter((title) => !failedTitles.has(title));

for (const { fullTitle, err } of unexpected) {
  console.log(`FAILED ${fullTitle}\n${err.stack ?? err.message}\n`);
}
for (const { fullTitle } of expected) console.log(`KNOWN RED ${fullTitle}`);
for (const title of stale) {
  console.log(`FAILED ${title}\nlisted in ${KNOWN_RED_FILE} but did not fail\n`);
}
for (const { fullTitle } of pending) console.log(`FAILED ${fullTitle}\nskipped\n`);

const failed = unexpected.length + stale.length + pending.length;
console.log(`suites ${stats.suites}, duration ${stats.duration} ms, known red ${expected.length}`);
console.log(`${passes.length} passed, ${failed} failed`);
process.exit(failed > 0 || passes.length === 0 ? 1 : 0);
