import { expect } from 'chai';
import { ServerState, type BackendServer } from '@masticbend/settings/routing';
import { createServerList, REGISTRATION_GRACE_MS } from '../src/server-list.js';

function createServer(id: string, changes: Partial<BackendServer> = {}): BackendServer {
  return {
    id,
    bornAt: 1,
    service: 'engine',
    address: `10.0.0.${id}:80`,
    dataCentre: 'ota',
    slots: 11,
    state: ServerState.Ready,
    softwareVersion: 'v1',
    coldMs: 0,
    ...changes,
  };
}

describe('server list', () => {
  it('reports each change to a server once', () => {
    const list = createServerList();
    const changes = [
      list.set(createServer('1')),
      list.set(createServer('1')),
      list.set(createServer('1', { state: ServerState.Leaving })),
      list.set(createServer('1', { bornAt: 2 })),
      list.remove(0, '1'),
      list.remove(0, '1'),
    ];
    expect(changes.map((each) => each.map(({ change }) => change))).to.deep.equal([
      ['seen'],
      [],
      ['leaving'],
      ['restarted'],
      ['gone'],
      [],
    ]);
  });

  it('keeps servers whose registration expired in an outage for the grace period', () => {
    const list = createServerList();
    list.setAll(0, [createServer('1'), createServer('2')]);
    list.startGracePeriod(10_000);
    expect(list.setAll(10_000, [])).to.deep.equal([]);
    expect(list.list()).to.have.length(2);
    list.set(createServer('1'));
    expect(list.findNextExpiry()).to.equal(10_000 + REGISTRATION_GRACE_MS);
    const [gone] = list.expire(10_000 + REGISTRATION_GRACE_MS);
    expect(gone).to.include({ change: 'gone' });
    expect(list.list().map(({ id }) => id)).to.deep.equal(['1']);
  });

  it('drops a crashed server when another starts at its address, before its row is removed', () => {
    const list = createServerList();
    const address = '10.0.0.1:80';
    list.setAll(0, [createServer('old', { address, bornAt: 5 }), createServer('2')]);
    list.set(createServer('new', { address, bornAt: 9 }));
    list.set(createServer('old', { address, bornAt: 5 }));
    expect(list.list().map(({ id }) => id)).to.have.members(['new', '2']);
  });

  it('does not bring back what a restored store lists from an older copy', () => {
    const list = createServerList();
    const names = () => list.list().map(({ id, bornAt, state }) => `${id} ${bornAt} ${state}`);
    list.setAll(
      0,
      ['1', '2', '3', '4'].map((id) => createServer(id, { bornAt: 5 })),
    );
    list.remove(100, '1');
    list.set(createServer('2', { bornAt: 9 }));
    list.set(createServer('3', { bornAt: 5, state: ServerState.Leaving }));
    const copy = ['1', '2', '3'].map((id) => createServer(id, { bornAt: 5 }));
    list.startRestoration(5_000);
    list.setAll(5_000, copy);
    expect(names()).to.have.members(['2 9 ready', '3 5 leaving', '4 5 ready']);
    list.expire(5_000 + REGISTRATION_GRACE_MS);
    expect(names()).to.have.members(['2 9 ready', '3 5 leaving']);
    // What is still listed after the grace period was written again.
    list.setAll(5_000 + REGISTRATION_GRACE_MS, copy);
    expect(names()).to.have.members(['1 5 ready', '2 5 ready', '3 5 leaving']);
  });

  it('reports a leaving server also after an outage', () => {
    const list = createServerList();
    list.setAll(0, [createServer('1')]);
    list.startGracePeriod(10_000);
    const changes = list.setAll(10_000, [createServer('1', { state: ServerState.Leaving })]);
    expect(changes.map(({ change }) => change)).to.deep.equal(['leaving']);
  });
});
