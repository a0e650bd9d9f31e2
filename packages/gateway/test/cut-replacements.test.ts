/**
 * Answers that are cut while two attempts of their request are in progress: one at a server that is
 * silent, and one that replaces it.
 */
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { REQUEST_ID_HEADER } from '@masticbend/platform/ingress';
import type { Arrival } from './backend.js';
import { startDeployment, waitFor, type Reply } from './harness.js';

const BODY = 'done and whole';
const STEP_MS = 100;
const WHOLE = { status: 200, body: BODY };

const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  closes: (socket) => socket.destroySoon(),
  'closes its sending side': (socket) => socket.end(),
  resets: (socket) => socket.resetAndDestroy(),
};

/** Places of a cut, as the bytes before it in an answer of `headBytes` and `allBytes`. */
const PLACES: Readonly<Record<string, (headBytes: number, allBytes: number) => number>> = {
  'in its first line': () => 5,
  'in a header': (headBytes) => headBytes - 20,
  'before the last byte of its head': (headBytes) => headBytes - 1,
  'behind its head': (headBytes) => headBytes,
  'in its body': (_headBytes, allBytes) => allBytes - 1,
};

/** Answers the request of a replacement, while that of the silent server is in progress. */
type Replace = (silent: Attempt, replacement: Attempt) => Promise<void>;

/** A request at a server, and the parts of its answer before and after the cut. */
interface Attempt {
  socket: Socket;
  before: string;
  after: string;
}

function createAttempt({ headers, socket }: Arrival, place: string): Attempt {
  const lines = [
    'HTTP/1.1 200 OK',
    `${REQUEST_ID_HEADER}: ${headers[REQUEST_ID_HEADER]}`,
    'X-Masticbend-Server-Stamp: stamp',
    `Content-Length: ${BODY.length}`,
  ];
  const head = `${lines.join('\r\n')}\r\n\r\n`;
  const answer = head + BODY;
  const bytes = PLACES[place]!(head.length, answer.length);
  return { socket, before: answer.slice(0, bytes), after: answer.slice(bytes) };
}

/** Calls with one attempt that stops at a place, and another one that `replace` answers. */
async function call(place: string, replace: Replace): Promise<Reply> {
  const attempts: Attempt[] = [];
  const script = (arrival: Arrival): void => {
    const attempt = createAttempt(arrival, place);
    attempts.push(attempt);
    if (attempts.length === 1) attempt.socket.write(attempt.before);
    else if (attempts.length === 2) replace(attempts[0]!, attempt);
  };
  const deployment = await startDeployment([script, script]);
  const reply = await deployment.call('/again/a');
  await deployment.close();
  expect(attempts).to.have.lengthOf(2);
  return reply;
}

async function checkPlaces(replace: Replace, check: (reply: Reply) => void): Promise<void> {
  await Promise.all(
    Object.keys(PLACES).map(async (place) => {
      check(await call(place, replace));
    }),
  );
}

describe('an answer that is cut at any place beside another attempt', () => {
  for (const [ending, end] of Object.entries(ENDS)) {
    // Another operator's clients got a 200 with an empty or short body, framed as whole.
    it(`is replaced where the silent server ${ending}`, () =>
      checkPlaces(
        async (silent, { socket, before, after }) => {
          end(silent.socket);
          await waitFor(STEP_MS);
          socket.write(before + after);
        },
        (reply) => expect(reply).to.include(WHOLE),
      ));

    it(`is left for the silent one where the replacement ${ending}`, () =>
      checkPlaces(
        async (silent, { socket, before }) => {
          socket.write(before, () => end(socket));
          await waitFor(STEP_MS);
          silent.socket.write(silent.after);
        },
        (reply) => expect(reply).to.include(WHOLE),
      ));

    it(`is no success where both servers end and the replacement ${ending}`, () =>
      checkPlaces(
        async (silent, { socket, before }) => {
          socket.write(before, () => end(socket));
          await waitFor(STEP_MS);
          end(silent.socket);
        },
        ({ status }) => expect(status).to.be.within(500, 599),
      ));
  }
});
