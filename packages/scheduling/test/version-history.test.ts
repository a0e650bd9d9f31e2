import { expect } from 'chai';
import { ServerState, type BackendServer } from '@masticbend/settings/routing';
import { createVersionHistory } from '../src/version-history.js';

/** Longest time for which a stream is open. */
const LONGEST_STREAM_MS = 20_000;
/** Time after which a version must no longer count. */
const FORGOTTEN_MS = 60_000;

function createServers(...versions: string[]): BackendServer[] {
  return versions.map((softwareVersion, index) => ({
    id: `i-${index}`,
    bornAt: 1,
    service: 'engine',
    address: `10.0.0.${index}:80`,
    dataCentre: 'z1',
    slots: 4,
    state: ServerState.Ready,
    softwareVersion,
    coldMs: 0,
  }));
}

describe('version history', () => {
  it('names the only version, also long after it was listed', () => {
    const history = createVersionHistory();
    history.addEarlier(0, {});
    expect(history.findOnly(0, 'engine')).to.equal(undefined);
    history.setListed(0, createServers('v1', 'v1'));
    expect(history.findOnly(0, 'engine')).to.equal('v1');
    expect(history.findOnly(10 * FORGOTTEN_MS, 'engine')).to.equal('v1');
    expect(history.findOnly(0, 'other')).to.equal(undefined);
  });

  it('names none while streams of a replaced version may be open', () => {
    const history = createVersionHistory();
    history.addEarlier(0, {});
    history.setListed(0, createServers('v1'));
    history.setListed(100_000, createServers('v1', 'v2'));
    expect(history.findOnly(100_000, 'engine')).to.equal(undefined);
    history.setListed(110_000, createServers('v2'));
    expect(history.findOnly(110_000 + LONGEST_STREAM_MS, 'engine')).to.equal(undefined);
    expect(history.findOnly(110_000 + FORGOTTEN_MS, 'engine')).to.equal('v2');
  });

  // A process that starts after a release lists the new version only.
  it('names none after a start until versions of before are known', () => {
    const history = createVersionHistory();
    history.setListed(0, createServers('v2'));
    expect(history.findOnly(0, 'engine')).to.equal(undefined);
    history.addEarlier(0, { engine: ['v1', 'v2'] });
    expect(history.findOnly(LONGEST_STREAM_MS, 'engine')).to.equal(undefined);
    expect(history.listRecent(0)).to.deep.equal({ engine: ['v2', 'v1'] });
    expect(history.findOnly(FORGOTTEN_MS, 'engine')).to.equal('v2');
  });
});
