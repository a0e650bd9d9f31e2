/**
 * A finding beside the cases: node review/later-version.mjs, with the exit codes of a case. A
 * worker crashes and starts again under its id with newer software. Soon after, another worker
 * crashes; its streams go on at the first one, whose new registration was not read yet. Case 2
 * shows another order of the same events.
 */
import { URL } from 'node:url';
import { createConfiguration, runCase, wait } from './deployment-2.mjs';

const CALLS = 8;
const STREAMS = { events: 40, gapMs: 80 };
/** Time from the crash of the first worker to its next start, and from there to the next crash. */
const DOWN_MS = 200;
const GAP_MS = 100;

await runCase(new URL('record.txt', import.meta.url).pathname, async (deployment, hasTrouble) => {
  const { record } = deployment;
  deployment.store.put('op', 'config', createConfiguration(7));
  const first = await deployment.startWorker('desk', 1, STREAMS);
  const second = await deployment.startWorker('desk', 2, STREAMS);
  const entry = await deployment.startEntry(1);
  await deployment.waitReady(entry);
  await wait(2_000);

  const calls = Array.from({ length: CALLS }, (_, index) =>
    deployment.call(entry, '/draft/quote', `c${index}`),
  );
  await wait(800);
  if (hasTrouble) {
    deployment.kill(first.child);
    await wait(DOWN_MS);
    await deployment.startWorker('desk', 1, STREAMS, { version: 'v2', like: first });
    await wait(GAP_MS);
    deployment.kill(second.child);
  }
  const answers = await Promise.all(calls);

  const joined = answers.filter(({ id, status, body, end }) => {
    const versions = [...new Set(body.match(/by v\d/g))].join(', ');
    const events = body.split('id: ').length - 1;
    record(`${id}: status ${status}, ${events} events ${versions}, end: ${end}`);
    return status === 200 && end === 'complete' && versions.includes(',');
  });
  record(`${joined.length} of ${CALLS} streams are complete and joined from two versions`);
  return joined.length === 0;
});
