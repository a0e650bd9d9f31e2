import { expect } from 'chai';
import { createVirtualClock } from '@masticbend/kernel/clock';
import { createReadiness, STARTUP_GRACE_PERIOD_MS } from '../src/readiness.js';
import { createTestConfiguration } from './fake-entry.js';

const DOCUMENT = `
[tiers.fast]
rank = 0
deadlineMs = 5000
[accounts]
[models.praline]
[services.parcels]
[[services.parcels.operations]]
method = "GET"
path = "/parcels/*"
idempotent = true
[backendServers.engine-1]
agent = "127.0.0.1:1"
dataCentre = "a"
kind = "model"
serves = ["praline"]
[backendServers.engine-2]
agent = "127.0.0.1:2"
dataCentre = "a"
kind = "model"
serves = ["praline"]
[backendServers.parcels-1]
agent = "127.0.0.1:3"
dataCentre = "a"
kind = "service"
serves = ["parcels"]
`;

describe('readiness', () => {
  const configuration = createTestConfiguration(DOCUMENT);

  function createCheck(served: string[]) {
    const clock = createVirtualClock();
    const canServe = (target: string) => served.includes(target);
    return { clock, isReady: createReadiness(clock, canServe, () => configuration) };
  }

  it('is not ready while a model or service has no agent that serves it', () => {
    expect(createCheck(['praline']).isReady()).to.equal(false);
    expect(createCheck(['praline', 'parcels']).isReady()).to.equal(true);
  });

  it('is ready after the grace period, but never without a configuration', () => {
    const { clock, isReady } = createCheck([]);
    clock.advance(STARTUP_GRACE_PERIOD_MS - 1);
    expect(isReady()).to.equal(false);
    clock.advance(1);
    expect(isReady()).to.equal(true);
    expect(
      createReadiness(
        clock,
        () => true,
        () => undefined,
      )(),
    ).to.equal(false);
  });
});
