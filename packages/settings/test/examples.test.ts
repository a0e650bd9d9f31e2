import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { parseConfiguration } from '@masticbend/settings/configuration';
import { checkAgentSettings, checkEntrySettings } from '@masticbend/settings/process-settings';

const EXAMPLES = ['naschprobe', 'adeyemi-okafor'];

function readExample(name: string, file: string): string {
  return readFileSync(new URL(`../../../examples/${name}/${file}`, import.meta.url), 'utf8');
}

describe('examples', () => {
  for (const name of EXAMPLES) {
    it(`are valid and consistent with each other: ${name}`, () => {
      const result = parseConfiguration(readExample(name, 'configuration.toml'));
      expect(result).to.have.property('ok', true);
      const { backendServers } = (result as Extract<typeof result, { ok: true }>).configuration;
      const entry = checkEntrySettings(readExample(name, 'entry.toml'));
      expect(entry).to.have.property('ok', true);
      const agent = checkAgentSettings(readExample(name, 'agent.toml'));
      expect(agent.ok && backendServers[agent.value.backendServer]?.agent).to.equal(
        agent.ok && agent.value.meshAddress,
      );
    });
  }
});

describe('faults of settings', () => {
  it('reports all faults at once, with the nearest known name', () => {
    const text = readExample('naschprobe', 'entry.toml')
      .replace('instance =', 'instnace =')
      .replace('"info"', '"loud"')
      .replace(/callerAddress = .*/, 'callerAddress = "localhost"')
      .replace('objectUrl', 'objectsUrl');
    expect(checkEntrySettings(text)).toMatchSnapshot();
  });

  // The check took addresses to which no connection can be opened, and the entry that dialled the
  // agent ended by itself.
  it('refuses addresses that cannot be dialled', () => {
    const text = readExample('naschprobe', 'configuration.toml');
    for (const agent of ['10.0.0.1:99999', '10.0.0.1:0', '999.0.0.1:80', '10.0.0.01:80', '1.2:3']) {
      const result = parseConfiguration(text.replace(/agent = "[^"]+"/, `agent = "${agent}"`));
      const keys = result.ok ? [] : result.faults.map(({ key }) => key.split('.').at(-1));
      expect(keys).to.deep.equal(['agent']);
    }
  });

  it('reports the line of a TOML syntax error', () => {
    expect(checkEntrySettings('instance = "entry-1"\ndataCentre =')).toMatchSnapshot();
  });

  it('never includes a key that was written in place of its hash', () => {
    const text = readExample('naschprobe', 'configuration.toml').replace(
      /keyHashes = .*/,
      'keyHashes = ["my-secret-key"]',
    );
    const result = parseConfiguration(text);
    expect(result.ok).to.equal(false);
    expect(JSON.stringify(result)).not.to.include('my-secret-key');
  });
});
