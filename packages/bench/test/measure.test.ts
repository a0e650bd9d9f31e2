import { expect } from 'chai';
import { ErrorKind } from '@masticbend/protocol/error';
import { Condition, measureCapacity, runCell } from '../src/policy/cell.js';
import {
  createMasticbendPolicy,
  type FinalRefusalListener,
} from '../src/policy/masticbend-policy.js';
import { measurePolicies } from '../src/policy/measurement.js';
import { checkTargets } from '../src/policy/targets.js';
import { NASCHPROBE } from '../src/policy/workload.js';

const SEED = 20261203;

describe('policy measurement', () => {
  it(`gives the same figures for the same seed ${SEED}`, () => {
    const first = measurePolicies(SEED, true);
    expect(measurePolicies(SEED, true)).to.deep.equal(first);
    expect(measurePolicies(SEED + 1, true)).not.to.deep.equal(first);
    expect(first.cells).to.have.length(8);
    expect(checkTargets(first)).to.have.length(4);
  });
});

describe('load shedding over a complete run', () => {
  const durationMs = 30_000;
  const cell = { deployment: NASCHPROBE, load: 3, condition: Condition.Killed, durationMs };

  /** Counts `overloaded` refusals at which an agent would still displace a lower-tier request. */
  function countInversions(displace: boolean): number {
    let inversions = 0;
    const onFinalRefusal: FinalRefusalListener = (work, { kind }, agents, now) => {
      if (kind !== ErrorKind.Overloaded) return;
      const candidates = agents.filter((agent) =>
        agent.report(now).waiting.some((count, tier) => tier > work.tier && count > 0),
      );
      const acceptingAgents = candidates.filter(
        (agent) => agent.reserve(now, 'probe', 'probe', work, true).queued,
      );
      for (const agent of acceptingAgents) agent.cancel(now, 'probe');
      if (acceptingAgents.length > 0) inversions += 1;
    };
    const capacity = measureCapacity(NASCHPROBE, SEED);
    runCell({ ...cell, seed: SEED }, capacity, (context) =>
      createMasticbendPolicy(context, { queueLimit: 4, displace, onFinalRefusal }),
    );
    return inversions;
  }

  it(`refuses no higher-tier request while an agent would displace a lower one, seed ${SEED}`, () => {
    expect(countInversions(true)).to.equal(0);
  });

  it(`refuses higher-tier requests without displacement, seed ${SEED}`, () => {
    expect(countInversions(false)).to.be.above(0);
  });
});
