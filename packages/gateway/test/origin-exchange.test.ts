/** Origins of streams in deployments of many entries, on a virtual clock and without a network. */
import { expect } from 'chai';
import { createVirtualClock } from '@masticbend/kernel/clock';
import type { Message } from '@masticbend/protocol/message';
import {
  createOriginExchange,
  isOriginMessage,
  type OriginExchange,
  type OriginLookup,
} from '../src/origin-exchange.js';

const ORIGIN = { service: 'engine', softwareVersion: 'v1.1' };
const KNOWN = { kind: 'known', origin: ORIGIN };
/** Time within which a new origin must be known at its holders. */
const COPY_TIMEOUT_MS = 100;
/** Time within which a request whose stream is not known must be refused. */
const LOOKUP_TIMEOUT_MS = 300;
/** Copies of each origin, and messages of one lookup: independent of the number of entries. */
const MAX_COPIES = 3;

function createFleet(size: number) {
  const clock = createVirtualClock();
  const entries = new Map<string, OriginExchange>();
  const lost = new Set<string>();
  const sent: Message[] = [];
  const names = Array.from({ length: size }, (_, index) => `entry-${index}`);
  for (const self of names) {
    const exchange = createOriginExchange({
      self,
      clock,
      listLive: () => names.filter((name) => name !== self && !lost.has(name)),
      send(peer, message) {
        sent.push(message);
        if (isOriginMessage(message) && !lost.has(peer)) entries.get(peer)!.receive(self, message);
      },
    });
    entries.set(self, exchange);
  }
  return { clock, entries, lost, sent, names };
}

/** Looks an origin up; undefined while there is no result. */
function findOrigin(exchange: OriginExchange, stream: string) {
  const lookup: { result?: OriginLookup } = {};
  exchange.find(stream, (result) => {
    lookup.result = result;
  });
  return lookup;
}

describe('origin exchange', () => {
  for (const size of [1, 2, 4, 68]) {
    it(`finds the origin of a stream at each of ${size} entries`, () => {
      const { clock, entries, names, sent } = createFleet(size);
      entries.get('entry-0')!.record('s', ORIGIN);
      clock.advance(COPY_TIMEOUT_MS);
      expect(sent.length).to.be.at.most(MAX_COPIES);
      for (const name of names) {
        expect(findOrigin(entries.get(name)!, 's').result, name).to.containSubset(KNOWN);
      }
    });
  }

  it('copies the origins of many streams with few messages', () => {
    const { clock, entries, sent } = createFleet(4);
    const first = entries.get('entry-0')!;
    for (let index = 0; index < 100; index += 1) first.record(`s${index}`, ORIGIN);
    clock.advance(COPY_TIMEOUT_MS);
    expect(sent.length).to.be.at.most(MAX_COPIES);
  });

  // The entry that began a stream and two of the entries that hold copies are lost together.
  it('finds origins after the loss of the first entry and two others', () => {
    for (let first = 0; first < 10; first += 1) {
      const { clock, entries, lost, names } = createFleet(12);
      entries.get('entry-11')!.record('s', ORIGIN);
      clock.advance(COPY_TIMEOUT_MS);
      for (const name of ['entry-11', names[first]!, names[first + 1]!]) lost.add(name);
      const others = names.filter((name) => !lost.has(name));
      for (const name of others) {
        expect(findOrigin(entries.get(name)!, 's').result, name).to.containSubset(KNOWN);
      }
    }
  });

  it('does not know a stream that no holder knows, once all have answered', () => {
    const { entries } = createFleet(4);
    const { result } = findOrigin(entries.get('entry-0')!, 's');
    expect(result).to.deep.equal({ kind: 'unknown' });
  });

  it('gives up holders that do not answer', () => {
    const clock = createVirtualClock();
    const exchange = createOriginExchange({
      self: 'entry-0',
      clock,
      listLive: () => ['entry-1', 'entry-2'],
      send: () => undefined,
    });
    const lookups = [findOrigin(exchange, 's'), findOrigin(exchange, 's')];
    expect(lookups.map(({ result }) => result?.kind)).to.deep.equal([undefined, undefined]);
    clock.advance(LOOKUP_TIMEOUT_MS);
    const kinds = lookups.map(({ result }) => result?.kind);
    expect(kinds).to.deep.equal(['unanswered', 'unanswered']);
  });
});
