import { expect } from 'chai';
import { createVirtualClock, type VirtualClock } from '@masticbend/kernel/clock';
import { encodeFrame } from '@masticbend/protocol/frame';
import type { LoadReport } from '@masticbend/protocol/message';
import {
  createLoadReporter,
  MAX_REPORT_INTERVAL_MS,
  MIN_REPORT_INTERVAL_MS,
  REPORT_INTERVAL_PER_PEER_MS,
} from '../src/load-reporter.js';

const AGENTS = 64;
const MINUTE_MS = 60_000;
/** Control traffic budget of an entry. */
const BUDGET_BYTES_PER_SECOND = 5 * 1024;

describe('load reporter', () => {
  let clock: VirtualClock;
  let load: LoadReport;
  let sent: { owner: string; load: LoadReport }[];

  beforeEach(() => {
    clock = createVirtualClock();
    sent = [];
    load = {
      ready: true,
      leaving: false,
      startDelayMs: 123.4567,
      prefillRate: 2_345.678,
      decodeRate: 0.0123456,
      running: 4,
      limit: 8,
      waiting: [1, 2, 3],
      backlogMs: [123.45, 234.56, 345.67],
      serves: ['praline-large', 'praline-small'],
    };
  });

  function createReporter() {
    return createLoadReporter({
      clock,
      send: (owner, report) => sent.push({ owner, load: report }),
      createReport: () => load,
    });
  }

  /** Advances the clock while the load changes before every report. */
  function runWithChangingLoad(durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += MIN_REPORT_INTERVAL_MS) {
      load = { ...load, running: (load.running + 1) % load.limit };
      clock.advance(MIN_REPORT_INTERVAL_MS);
    }
  }

  it('keeps an entry of 64 busy agents within the control budget', () => {
    const reporter = createReporter();
    reporter.addOwner('entry', AGENTS);
    runWithChangingLoad(MINUTE_MS);
    reporter.stop();
    const bytes = sent.reduce(
      (sum, report) => sum + encodeFrame({ kind: 'load', load: report.load }).length,
      0,
    );
    expect((bytes * AGENTS) / 60).to.be.below(BUDGET_BYTES_PER_SECOND);
  });

  it('exceeds the budget when the number of agents is not known', () => {
    const reporter = createReporter();
    reporter.addOwner('entry', 1);
    runWithChangingLoad(MINUTE_MS);
    reporter.stop();
    const { length } = encodeFrame({ kind: 'load', load });
    expect((sent.length * length * AGENTS) / 60).to.be.above(BUDGET_BYTES_PER_SECOND);
  });

  it('does not report small changes, except every 5 s', () => {
    const reporter = createReporter();
    reporter.addOwner('entry', 1);
    load = { ...load, startDelayMs: load.startDelayMs * 1.05 };
    clock.advance(MAX_REPORT_INTERVAL_MS - MIN_REPORT_INTERVAL_MS);
    expect(sent).to.have.length(1);
    clock.advance(MIN_REPORT_INTERVAL_MS);
    expect(sent).to.have.length(2);
    load = { ...load, startDelayMs: load.startDelayMs * 1.5 };
    clock.advance(MIN_REPORT_INTERVAL_MS);
    expect(sent).to.have.length(3);
    reporter.stop();
  });

  it('reports less often to each of many entries, and to all at once on `sendNow`', () => {
    const reporter = createReporter();
    const owners = Array.from({ length: 16 }, (_, index) => `entry-${index}`);
    for (const owner of owners) reporter.addOwner(owner, 1);
    sent = [];
    runWithChangingLoad(MINUTE_MS);
    const expected = (MINUTE_MS / (REPORT_INTERVAL_PER_PEER_MS * owners.length)) * owners.length;
    expect(sent.length).to.be.at.most(expected);
    sent = [];
    reporter.sendNow();
    expect(sent.map(({ owner }) => owner)).to.deep.equal(owners);
    reporter.stop();
  });

  it('stops reporting to an entry that was removed', () => {
    const reporter = createReporter();
    reporter.addOwner('entry', 1);
    reporter.removeOwner('entry');
    sent = [];
    runWithChangingLoad(MINUTE_MS);
    reporter.sendNow();
    expect(sent).to.have.length(0);
    reporter.stop();
  });
});
