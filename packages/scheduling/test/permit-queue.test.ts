/**
 * Load pattern: several entries in front of one engine, all with more work than it can take. The
 * engine must hold exactly its batch and one more, in tier order over all entries.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { createPermitQueue, type PermitAnswer, type PermitQueue } from '../src/permit-queue.js';

const SLOTS = 4;
const AHEAD = 1;
const HOLD_MS = 1_000;
const WAIT_MS = 5_000;
const SEED = 31;

function createReadyQueue(): PermitQueue {
  const queue = createPermitQueue();
  queue.setSlots(SLOTS);
  return queue;
}

function createWish(request: string, rank = 0, waitMs = WAIT_MS, account = 'a') {
  return { request, account, rank, tokens: 100, holdMs: HOLD_MS, waitMs, agents: 1 };
}

function listGranted(answers: readonly PermitAnswer[]): string[] {
  return answers
    .filter(({ refusedWaitMs }) => refusedWaitMs === undefined)
    .map(({ owner, request }) => `${owner}/${request}`);
}

/** Fills every place with requests of one entry. */
function reserveAll(queue: PermitQueue): void {
  for (let index = 0; index < SLOTS + AHEAD; index += 1) {
    expect(listGranted(queue.request(0, 'e0', createWish(`held-${index}`)))).to.have.length(1);
  }
}

describe('permit queue', () => {
  it('gives as many permits as the server runs together, and one ahead', () => {
    const queue = createReadyQueue();
    reserveAll(queue);
    expect(queue.request(0, 'e1', createWish('next'))).to.deep.equal([]);
    expect(queue.report()).to.include({ held: SLOTS + AHEAD, waiting: 1 });
    expect(listGranted(queue.release(10, 'e0', 'held-0'))).to.deep.equal(['e1/next']);
  });

  it('gives the next place to the highest tier of all entries', () => {
    const queue = createReadyQueue();
    reserveAll(queue);
    queue.request(0, 'e1', createWish('low', 2));
    queue.request(1, 'e2', createWish('high', 0));
    queue.request(2, 'e1', createWish('middle', 1));
    const order = ['held-0', 'held-1', 'held-2'].flatMap((request) =>
      listGranted(queue.release(10, 'e0', request)),
    );
    expect(order).to.deep.equal(['e2/high', 'e1/middle', 'e1/low']);
  });

  it('shares places between accounts of a tier', () => {
    const queue = createReadyQueue();
    reserveAll(queue);
    for (let index = 0; index < 4; index += 1) {
      queue.request(index, 'e1', createWish(`big-${index}`, 0, WAIT_MS, 'big'));
    }
    queue.request(9, 'e2', createWish('small', 0, WAIT_MS, 'small'));
    const order = [0, 1].flatMap((index) => listGranted(queue.release(10, 'e0', `held-${index}`)));
    expect(order).to.include('e2/small');
  });

  it('refuses at once what would wait too long, with the wait', () => {
    const queue = createReadyQueue();
    reserveAll(queue);
    const [answer] = queue.request(0, 'e1', createWish('hurried', 0, 50));
    expect(answer?.refusedWaitMs).to.equal(HOLD_MS / SLOTS);
    expect(queue.report().waiting).to.equal(0);
  });

  it('refuses what has waited too long', () => {
    const queue = createReadyQueue();
    reserveAll(queue);
    queue.request(0, 'e1', createWish('patient', 0, 300));
    expect(queue.expire(299)).to.deep.equal([]);
    expect(queue.expire(300)).to.have.length(1);
    expect(listGranted(queue.release(310, 'e0', 'held-0'))).to.deep.equal([]);
  });

  it('counts only its part of a wish that several agents were asked for', () => {
    const queue = createReadyQueue();
    reserveAll(queue);
    queue.request(0, 'e1', { ...createWish('shared'), agents: 4 });
    const [answer] = queue.request(0, 'e1', createWish('hurried', 0, 50));
    expect(answer?.refusedWaitMs).to.equal((HOLD_MS / 4 + HOLD_MS) / SLOTS);
  });

  it('expects waits by its own times where entries expect those of a middling server', () => {
    const queue = createReadyQueue();
    for (let round = 0; round < 200; round += 1) {
      const now = round * HOLD_MS * 3;
      queue.request(now, 'e0', createWish('one'));
      queue.release(now + HOLD_MS * 3, 'e0', 'one');
    }
    const now = 200 * HOLD_MS * 3;
    for (let index = 0; index <= SLOTS; index += 1) {
      queue.request(now, 'e0', createWish(`held-${index}`));
    }
    queue.request(now, 'e1', createWish('next'));
    const [answer] = queue.request(now, 'e1', createWish('hurried', 0, 50));
    expect(answer?.refusedWaitMs).to.be.closeTo((HOLD_MS * 6) / SLOTS, 1);
  });

  it('refuses a low rank at once when those of its rank were always overtaken', () => {
    const queue = createReadyQueue();
    reserveAll(queue);
    let now = 0;
    let waited = 0;
    for (let round = 0; round < 60; round += 1) {
      const answers = queue.request(now, 'e1', createWish(`late-${round}`, 8, 1_500));
      if (answers.length === 0) waited += 1;
      queue.request(now, 'e2', createWish(`first-${round}`, 0));
      now += 1_500;
      queue.expire(now);
      queue.release(now, 'e0', `held-${round}`);
      queue.release(now, 'e2', `first-${round - 5}`);
    }
    expect(waited).to.be.below(20);
    expect(queue.request(now, 'e1', createWish('on-time', 0))).to.deep.equal([]);
  });

  it('frees the places of an entry that is gone, and takes in what one already runs', () => {
    const queue = createReadyQueue();
    reserveAll(queue);
    queue.request(0, 'e1', createWish('next'));
    expect(listGranted(queue.dropOwner(10, 'e0'))).to.deep.equal(['e1/next']);
    queue.adopt(20, 'e0', ['old-1', 'old-2', 'old-3', 'old-4', 'old-5']);
    expect(queue.request(30, 'e1', createWish('later'))).to.deep.equal([]);
  });

  it('gives nothing before it knows the number of places', () => {
    const queue = createPermitQueue();
    expect(listGranted(queue.request(0, 'e0', createWish('early')))).to.deep.equal([]);
  });

  it('never holds more than its places in any order of events', () => {
    const event = fc.record({
      kind: fc.constantFrom('request', 'release', 'drop', 'expire'),
      owner: fc.constantFrom('e0', 'e1', 'e2'),
      request: fc.integer({ min: 0, max: 30 }),
      tier: fc.integer({ min: 0, max: 2 }),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 300 }), (events) => {
        const queue = createReadyQueue();
        const held = new Set<string>();
        events.forEach(({ kind, owner, request, tier }, step) => {
          const now = step * 10;
          const key = `${owner}/${step}`;
          let answers: PermitAnswer[] = [];
          if (kind === 'request') answers = queue.request(now, owner, createWish(`${step}`, tier));
          else if (kind === 'drop') {
            for (const each of [...held]) if (each.startsWith(owner)) held.delete(each);
            answers = queue.dropOwner(now, owner);
          } else if (kind === 'release') {
            const one = [...held][request % Math.max(1, held.size)] ?? key;
            const [from, id] = one.split('/') as [string, string];
            held.delete(one);
            answers = queue.release(now, from, id);
          } else answers = queue.expire(now);
          for (const granted of listGranted(answers)) {
            expect(held.has(granted), 'granted twice').to.equal(false);
            held.add(granted);
          }
          expect(held.size).to.be.at.most(SLOTS + AHEAD);
          expect(queue.report().held).to.equal(held.size);
        });
      }),
      { seed: SEED, numRuns: 200 },
    );
  });
});
