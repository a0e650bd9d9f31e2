import { expect } from 'chai';
import { createSystemClock } from '@masticbend/kernel/clock';
import { sendJson, startStandIn, waitFor, type StandIn } from '@masticbend/standins/http';
import { startInstanceWatch } from '../src/instances.js';

describe('instances', () => {
  let list: { instance: string; state: string }[];
  let standIn: StandIn;
  let stopWatch: () => void;
  let leavingCount: number;

  beforeEach(async () => {
    list = [{ instance: 'a1', state: 'live' }];
    standIn = await startStandIn(0, (_request, response) => sendJson(response, 200, list));
    leavingCount = 0;
    stopWatch = startInstanceWatch({
      url: standIn.url,
      instance: 'a1',
      clock: createSystemClock(),
      drawRandom: () => 0,
      onLeaving() {
        leavingCount += 1;
      },
    });
  });

  afterEach(async () => {
    stopWatch();
    await standIn.close();
  });

  it('reports once that this instance is leaving, also after an outage of the list', async () => {
    standIn.faults.down = true;
    await waitFor(700);
    standIn.faults.down = false;
    list = [{ instance: 'a2', state: 'leaving' }];
    await waitFor(700);
    expect(leavingCount).to.equal(0);
    list = [{ instance: 'a1', state: 'leaving' }];
    for (let index = 0; index < 100 && leavingCount === 0; index += 1) await waitFor(50);
    await waitFor(700);
    expect(leavingCount).to.equal(1);
  });
});
