/** The check of the soak test on callers' answers against the closing lines of entries. */
import { expect } from 'chai';
import type { CallRecord } from '@masticbend/bench/soak/call-record';
import {
  checkClosingLines,
  parseClosingLines,
  parseCrossedRequests,
  type ClosingLine,
} from '@masticbend/bench/soak/closing-lines';
import { createHistory, type History } from '@masticbend/bench/soak/history';

const SERVED: CallRecord = {
  id: 'r1',
  path: '/again/',
  isCrashing: false,
  key: 'key-a',
  entry: 'entry-0',
  sentAt: 10_000,
  endedAt: 11_000,
  status: 200,
  body: 'answer to r1',
  interrupted: false,
  before: '',
};
const UNANSWERED = { ...SERVED, status: 0, body: '', interrupted: true };
const CUT = { ...SERVED, body: 'answer', interrupted: true };

const FINISHED = createLine('request-finished', 200);
const FAILED = createLine('request-failed', 502);
const CUT_OFF = { ...FAILED, isCut: true };
const ABANDONED = createLine('request-abandoned', 502);

function createLine(event: string, status: number): ClosingLine {
  return { entry: 'entry-0', event, request: 'r1', status, isCut: false };
}

function check(
  record: CallRecord,
  lines: readonly ClosingLine[],
  history: Partial<History> = {},
): string[] {
  const sent = [{ request: 'r1', engine: 'i-0', at: 10_010 }];
  return checkClosingLines({
    records: [record],
    lines,
    history: { ...createHistory(), sent, ...history },
  });
}

describe('closing lines in the soak test', () => {
  it('are read with the status of the answer or of the kind of error', () => {
    const log = [
      'level=info process=entry-0 event=request-finished request=r1 status=200 sent=1',
      'level=info process=entry-0 event=request-failed request=r2 error=outcome-unknown sent=1',
      'level=info process=entry-0 event=request-failed request=r1 error=outcome-unknown begun=true',
      'level=info process=entry-0 event=request-refused error=stopping path=/once/x',
      'level=info process=entry-0 event=request-placed request=r3 server=i-0',
      'level=info process=entry-0 event=request-abandoned request=r4 sent=0',
      'level=info process=entry-0 event=request-abandoned request=r1 sent=1',
      '',
    ].join('\n');
    expect(parseClosingLines('entry-0', log)).to.deep.equal([
      FINISHED,
      { ...FAILED, request: 'r2' },
      CUT_OFF,
      { ...createLine('request-refused', 503), request: undefined },
      { ...ABANDONED, request: 'r4', status: 503 },
      ABANDONED,
    ]);
  });

  it('agree with whole answers, refusals and failures', () => {
    expect(check(SERVED, [FINISHED])).to.deep.equal([]);
    const refused = { ...SERVED, status: 503 };
    expect(check(refused, [createLine('request-refused', 503)])).to.deep.equal([]);
    expect(check({ ...SERVED, status: 502 }, [FAILED])).to.deep.equal([]);
    expect(check(CUT, [CUT_OFF])).to.deep.equal([]);
    // A reset may take the head with it that was sent before.
    expect(check(UNANSWERED, [CUT_OFF])).to.deep.equal([]);
  });

  // A refusal of the next head took the place of the answer, and the log blamed the caller.
  it('must not say that a caller left who got something else than the answer', () => {
    expect(check({ ...SERVED, status: 408 }, [ABANDONED])).to.have.length(1);
    expect(check(UNANSWERED, [ABANDONED])).to.have.length(1);
    expect(check(CUT, [ABANDONED])).to.have.length(1);
    expect(check({ ...UNANSWERED, hasLeft: true }, [ABANDONED])).to.deep.equal([]);
    expect(check({ ...SERVED, hasLeft: true }, [ABANDONED])).to.have.length(1);
    expect(check({ ...SERVED, hasLeft: true, status: 502 }, [ABANDONED])).to.deep.equal([]);
    expect(check({ ...SERVED, hasLeft: true, status: 503 }, [ABANDONED])).to.have.length(1);
    expect(check({ ...SERVED, status: 502 }, [ABANDONED])).to.have.length(1);
  });

  // A caller got nothing, and the log said that its request had been answered.
  it('must not say that an answer was delivered that its caller did not get', () => {
    expect(check(UNANSWERED, [FINISHED])).to.have.length(1);
    expect(check(UNANSWERED, [FAILED])).to.have.length(1);
    expect(check(CUT, [FINISHED])).to.have.length(1);
    expect(check(CUT, [FAILED])).to.have.length(1);
    expect(check({ ...SERVED, status: 502 }, [CUT_OFF])).to.have.length(1);
    expect(check({ ...SERVED, status: 502 }, [FINISHED])).to.have.length(1);
    expect(check(SERVED, [FAILED])).to.have.length(1);
  });

  // A request was forgotten: no line told that it had been there.
  it('must not be missing for a request that was read', () => {
    expect(check(SERVED, [])).to.have.length(1);
    expect(check({ ...SERVED, status: 503 }, [])).to.have.length(1);
    expect(check(UNANSWERED, [])).to.have.length(1);
    expect(check({ ...UNANSWERED, hasLeft: true }, [])).to.have.length(1);
    expect(check(UNANSWERED, [], { sent: [] })).to.have.length(1);
    const atOnce = { ...UNANSWERED, endedAt: 10_100 };
    expect(check(atOnce, [], { sent: [] })).to.deep.equal([]);
    expect(check(atOnce, [])).to.have.length(1);
    expect(check({ ...UNANSWERED, isRefused: true }, [], { sent: [] })).to.deep.equal([]);
    expect(check({ ...UNANSWERED, isRefused: true }, [])).to.have.length(1);
    expect(check({ ...CUT, endedAt: 10_100 }, [], { sent: [] })).to.have.length(1);
  });

  it('come once, from the entry that got the request', () => {
    expect(check(SERVED, [FINISHED, FINISHED])).to.have.length(1);
    expect(check(SERVED, [FINISHED, FAILED])).to.have.length(1);
    expect(check(SERVED, [{ ...FINISHED, entry: 'entry-1' }])).to.have.length(1);
    expect(check(SERVED, [FINISHED, { ...FINISHED, request: 'r2' }])).to.have.length(1);
  });

  it('may lack the request where it was refused unread, once for each refusal', () => {
    const refused = { ...SERVED, status: 503 };
    const line = { ...createLine('request-refused', 503), request: undefined };
    const checkRefused = (lines: readonly ClosingLine[]) =>
      checkClosingLines({
        records: [refused, { ...refused, id: 'r2' }],
        lines,
        history: createHistory(),
      });
    expect(checkRefused([line, line])).to.deep.equal([]);
    expect(checkRefused([line])).to.have.length(1);
    expect(checkRefused([line, { ...line, entry: 'entry-1' }])).to.have.length(1);
    expect(checkRefused([line, { ...line, status: 413 }])).to.have.length(1);
    const late = { ...SERVED, status: 408 };
    expect(check({ ...late, isSplitHead: true }, [])).to.deep.equal([]);
    expect(check(late, [])).to.have.length(1);
  });

  it('may be missing only from an entry that was killed or frozen, and for lost answers', () => {
    const outage = (name: string, from: number) => ({
      entryOutages: [{ name, from, to: from + 10 }],
    });
    for (const lines of [[], [FINISHED]]) {
      expect(check(UNANSWERED, lines, outage('entry-0', 11_400))).to.deep.equal([]);
      expect(check(UNANSWERED, lines, outage('entry-0', 11_600))).to.have.length(1);
      expect(check(UNANSWERED, lines, outage('entry-0', 9_900))).to.have.length(1);
      expect(check(UNANSWERED, lines, outage('entry-1', 10_500))).to.have.length(1);
    }
    // A request without an answer is in progress until its caller leaves, and not as it is sent.
    const unread = { ...UNANSWERED, endedAt: 10_000, leftAt: 11_000, hasLeft: true };
    expect(check(unread, [], outage('entry-0', 11_400))).to.deep.equal([]);
    expect(check(unread, [], outage('entry-0', 11_600))).to.have.length(1);
    expect(check(SERVED, [], outage('entry-0', 11_400))).to.deep.equal([]);
    expect(check(SERVED, [FAILED], outage('entry-0', 11_400))).to.have.length(1);
  });

  it('are not due for a request that was not sent as a whole', () => {
    const unfinished = { ...UNANSWERED, isUnfinished: true };
    expect(check(unfinished, [], { sent: [] })).to.deep.equal([]);
    expect(check(unfinished, [FINISHED])).to.have.length(1);
    expect(check({ ...CUT, isUnfinished: true }, [])).to.have.length(1);
  });

  // An engine broke the answer before off, and the refusal behind it could not be delivered.
  it('may close a request whose connection ended with the answer before', () => {
    const refused = createLine('request-refused', 503);
    const behind = { ...CUT, id: 'r0' };
    expect(check({ ...UNANSWERED, behind }, [refused])).to.deep.equal([]);
    expect(check({ ...UNANSWERED, behind: { ...SERVED, id: 'r0' } }, [refused])).to.have.length(1);
    expect(check({ ...CUT, behind }, [refused])).to.have.length(1);
    expect(check(UNANSWERED, [refused])).to.have.length(1);
  });

  // The head of a stream had announced the close, and the next request came in pieces behind it.
  it('may be missing for a request that its entry did not pass on behind an announced close', () => {
    const log = [
      'level=info process=entry-0 event=caller-refused request=r1 reason=closing',
      'level=info process=entry-0 event=caller-refused reason=closing bytes=12',
      'level=info process=entry-0 event=caller-refused status=400 open=0',
      'level=info process=entry-0 event=request-refused request=r2 reason=closing',
    ].join('\n');
    const crossed = parseCrossedRequests('entry-0', log);
    expect(crossed).to.deep.equal([{ entry: 'entry-0', request: 'r1' }]);
    const behind = { ...SERVED, id: 'r0', isClose: true };
    const crossing = { ...UNANSWERED, behind };
    expect(check(crossing, [], { crossed })).to.deep.equal([]);
    expect(check(crossing, [])).to.have.length(1);
    const kept = { ...UNANSWERED, behind: { ...behind, isClose: false } };
    expect(check(kept, [], { crossed })).to.have.length(1);
    expect(check(UNANSWERED, [], { crossed })).to.have.length(1);
    expect(check({ ...CUT, behind }, [], { crossed })).to.have.length(1);
    const elsewhere = parseCrossedRequests('entry-1', log);
    expect(check(crossing, [], { crossed: elsewhere })).to.have.length(1);
    expect(check(crossing, [FINISHED], { crossed })).to.have.length(1);
  });
});
