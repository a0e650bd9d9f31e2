/** Waits of connections at a process that accepts one of them in each turn of its event loop. */
import { expect } from 'chai';
import { Backlog, createAcceptWait, type AcceptWait } from '../src/accept-wait.js';

const TURN_MS = 10;

describe('the wait of connections until they are accepted', () => {
  let wait: AcceptWait;
  let turn = 0;

  beforeEach(() => {
    wait = createAcceptWait();
    turn = 0;
  });

  /** Accepts one connection in each turn until `end`. */
  function acceptUntil(end: number): void {
    for (; turn * TURN_MS < end; turn += 1) wait.recordAccepted(turn * TURN_MS, turn);
  }

  // Probes cost processor time, of which a process that is not behind has no use for them.
  it('needs no probe while some turns have no connection', () => {
    for (; turn < 1_000; turn += 2) {
      wait.recordAccepted(turn * TURN_MS, turn);
      expect(wait.isProbeDue(turn * TURN_MS)).to.equal(false);
    }
  });

  it('is probed at an interval while each turn has a connection', () => {
    const probes: number[] = [];
    for (; turn < 100; turn += 1) {
      const now = turn * TURN_MS;
      wait.recordAccepted(now, turn);
      if (wait.isProbeDue(now)) {
        probes.push(now);
        wait.recordProbeOpened(now);
      }
    }
    expect(probes).to.deep.equal([100, 300, 500, 700, 900]);
  });

  it('is that of the probe that was opened first', () => {
    acceptUntil(100);
    wait.recordProbeOpened(100);
    wait.recordProbeOpened(300);
    acceptUntil(700);
    expect(wait.getWaitMs(700)).to.equal(600);
    wait.recordProbeEnded(100);
    expect(wait.getWaitMs(700)).to.equal(400);
  });

  // A probe whose end was not seen made an entry refuse callers that did not wait.
  it('ends with the acceptance of a later probe', () => {
    acceptUntil(100);
    wait.recordProbeOpened(100);
    wait.recordProbeOpened(300);
    wait.recordProbeEnded(300);
    acceptUntil(700);
    expect(wait.getWaitMs(700)).to.equal(0);
  });

  // A probe that is never accepted must not keep the process behind.
  it('ends with a turn without a connection', () => {
    acceptUntil(100);
    wait.recordProbeOpened(100);
    acceptUntil(900);
    expect(wait.updateBacklog(900)).to.equal(Backlog.Late);
    wait.recordAccepted(1_000, turn + 5);
    expect(wait.getWaitMs(1_000)).to.equal(0);
    expect(wait.updateBacklog(1_000)).to.equal(Backlog.None);
  });

  // A process that is not ready gets no connection that would show it.
  it('ends while no connection comes', () => {
    acceptUntil(100);
    wait.recordProbeOpened(100);
    acceptUntil(900);
    wait.recordTurn(turn);
    expect(wait.getWaitMs(900)).to.equal(800);
    wait.recordTurn(turn + 1);
    expect(wait.getWaitMs(900)).to.equal(0);
  });

  it('is late from 300 ms and excessive from 1 s, until it is below 100 ms', () => {
    wait.recordProbeOpened(0);
    expect(wait.updateBacklog(299)).to.equal(Backlog.None);
    expect(wait.updateBacklog(300)).to.equal(Backlog.Late);
    expect(wait.updateBacklog(999)).to.equal(Backlog.Late);
    expect(wait.updateBacklog(1_000)).to.equal(Backlog.Excessive);
    wait.recordProbeOpened(900);
    wait.recordProbeEnded(0);
    expect(wait.updateBacklog(1_000)).to.equal(Backlog.Excessive);
    wait.recordProbeOpened(950);
    wait.recordProbeEnded(900);
    expect(wait.updateBacklog(1_000)).to.equal(Backlog.None);
  });
});
