/** Times between events of one attempt, on a virtual clock and without a network. */
import { expect } from 'chai';
import { createVirtualClock } from '@masticbend/kernel/clock';
import { SIGNATURE_HEADER } from '@masticbend/platform/ingress';
import { ServerState } from '@masticbend/settings/routing';
import { startAttempt, type AttemptEvents, type AttemptRequest } from '../src/attempt.js';
import type { BackendClient, ExchangeEvents } from '../src/backend-client.js';
import type { Delivery } from '../src/delivery.js';

const EVENT = Buffer.from('data: x\n\n');

describe('attempt', () => {
  // A caller that did not read for a second counted as a slow engine.
  it('does not count the time in which its caller does not read as a pause', () => {
    const clock = createVirtualClock();
    const intervals: [number, boolean][] = [];
    let server = {} as ExchangeEvents;
    let isTaken = true;
    let resume = () => {};
    let maxPauseMs: number | undefined;
    const client = {
      send(_server, _request, events) {
        server = events;
        return { abort: () => {}, pause: () => {}, resume: () => {} };
      },
    } as BackendClient;
    const delivery = {
      hasBegun: () => true,
      isContinuedBy: () => true,
      write: () => isTaken,
      onDrain(next: () => void) {
        resume = next;
      },
      end: () => {},
    } as unknown as Delivery;
    const events: AttemptEvents = {
      onSent: () => {},
      onNotice: () => {},
      onFirstOutput: () => {},
      onRelay: () => {},
      onSilent: () => {},
      onResumed: () => {},
      onEmptyEnd: () => {},
      onOpenEnd: (onResult) => onResult(true),
      onEventInterval(intervalMs, isHeldBack) {
        intervals.push([intervalMs, isHeldBack]);
      },
      onResult(result) {
        if (result.kind === 'delivered') maxPauseMs = result.stream?.maxPauseMs;
      },
    };
    const backend = { id: 'a', address: '10.0.0.1:80', state: ServerState.Ready };
    const request = {
      requestId: '',
      streamed: true,
      rawHeaders: [],
      body: EVENT,
      inactivityTimeoutMs: 0,
    };
    startAttempt(
      clock,
      client,
      backend as Parameters<typeof startAttempt>[2],
      request as unknown as AttemptRequest,
      delivery,
      events,
    );
    server.onSent();
    server.onHead(200, { [SIGNATURE_HEADER]: 'x' });
    server.onData(EVENT);
    clock.advance(30);
    isTaken = false;
    server.onData(EVENT);
    clock.advance(1_000);
    resume();
    isTaken = true;
    server.onData(EVENT);
    clock.advance(40);
    server.onData(EVENT);
    server.onEnd();
    expect(intervals).to.deep.equal([
      [30, false],
      [1_000, true],
      [40, false],
    ]);
    expect(maxPauseMs).to.equal(40);
  });
});
