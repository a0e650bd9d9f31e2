import { expect } from 'chai';
import { startInstanceList } from '../src/instance-list.js';

const LAG_MS = 60;

describe('instance list stand-in', () => {
  it('lists one instance or all, and a leaving one as such after the lag', async () => {
    const list = await startInstanceList(0, ['agent-1', 'agent-2'], LAG_MS);
    const read = async (query: string) => (await fetch(`${list.url}/v1/instances${query}`)).json();
    list.setLeaving('agent-2');
    expect(await read('?instance=agent-1')).to.deep.equal([{ instance: 'agent-1', state: 'live' }]);
    await new Promise((resolve) => {
      setTimeout(resolve, LAG_MS * 2);
    });
    expect(await read('')).to.deep.equal([
      { instance: 'agent-1', state: 'live' },
      { instance: 'agent-2', state: 'leaving' },
    ]);
    await list.close();
  });
});
