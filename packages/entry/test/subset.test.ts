import { expect } from 'chai';
import type { BackendServerConfiguration, Configuration } from '@masticbend/settings/configuration';
import { QUOTA_ALLOCATOR_COUNT } from '../src/quota-client.js';
import { chooseSubset, SUBSET_SIZE, MIN_AGENTS_PER_TARGET } from '../src/subset.js';
import { createTestConfiguration } from './fake-entry.js';

const DATA_CENTRES = 10;
const ENTRIES = 640;
const AGENTS = 6_700;
/** Number of the data centre whose entries and agents are counted. */
const LOCAL_DATA_CENTRE = 3;

function createLarge(agents: number): Configuration {
  const servers: Record<string, BackendServerConfiguration> = {};
  for (let index = 0; index < agents; index += 1) {
    const isRare = index % 1_000 === 999;
    servers[`engine-${index}`] = {
      agent: '127.0.0.1:1',
      dataCentre: `dc-${index % DATA_CENTRES}`,
      kind: 'model',
      serves: isRare ? ['rare'] : [`model-${Math.floor(index / DATA_CENTRES) % 4}`],
      concurrency: 16,
      checksFencing: false,
      draining: false,
    };
  }
  return { ...createTestConfiguration(), backendServers: servers };
}

describe('subset', () => {
  it('connects a small deployment to all agents', () => {
    const configuration = createLarge(SUBSET_SIZE);
    expect(chooseSubset(configuration, 'entry-1', 'dc-1')).to.have.length(SUBSET_SIZE);
  });

  it('connects several entries to every agent, and every entry to each model, at full size', () => {
    const configuration = createLarge(AGENTS);
    const covered = new Map<string, number>();
    for (let entry = LOCAL_DATA_CENTRE; entry < ENTRIES; entry += DATA_CENTRES) {
      const subset = chooseSubset(configuration, `entry-${entry}`, `dc-${LOCAL_DATA_CENTRE}`);
      expect(subset.length).to.be.at.most(SUBSET_SIZE + QUOTA_ALLOCATOR_COUNT);
      const counts = new Map<string, number>();
      for (const name of subset) {
        covered.set(name, (covered.get(name) ?? 0) + 1);
        const [target] = configuration.backendServers[name]!.serves;
        counts.set(target!, (counts.get(target!) ?? 0) + 1);
      }
      for (const target of ['model-0', 'model-1', 'model-2', 'model-3']) {
        expect(counts.get(target)).to.be.at.least(MIN_AGENTS_PER_TARGET);
      }
      expect(counts.get('rare')).to.be.at.least(6);
    }
    const localCounts = Object.entries(configuration.backendServers)
      .filter(([, { dataCentre }]) => dataCentre === `dc-${LOCAL_DATA_CENTRE}`)
      .map(([name]) => covered.get(name) ?? 0);
    expect(localCounts).to.have.length(AGENTS / DATA_CENTRES);
    expect(Math.min(...localCounts)).to.be.at.least(3);
    expect(localCounts.filter((size) => size > 32).length).to.be.at.most(QUOTA_ALLOCATOR_COUNT);
  });

  it('changes few connections when one agent is removed', () => {
    const configuration = createLarge(AGENTS);
    const before = chooseSubset(configuration, 'entry-7', 'dc-7');
    const { [before[40]!]: removed, ...rest } = configuration.backendServers;
    expect(removed).to.not.equal(undefined);
    const next = chooseSubset({ ...configuration, backendServers: rest }, 'entry-7', 'dc-7');
    expect(next.filter((name) => !before.includes(name)).length).to.be.at.most(2);
  });
});
