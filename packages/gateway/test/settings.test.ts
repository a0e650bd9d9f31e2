/** The programs must accept the settings that the platform renders from its templates. */
import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import { parseAgentSettings, parseGatewaySettings } from '../src/settings.js';

/** Template values, as in the documentation of the platform. */
const VALUES: Record<string, string> = {
  node_name: 'edge-1',
  zone: 'ota',
  ip: '10.1.0.25',
  'listen.front': '10.1.0.25:8221',
  'listen.ready': '10.1.0.25:8224',
  'internal_ports.0': '7600',
  'internal_ports.1': '7615',
  'platform.address': '10.200.1.7:8225',
  'limits.memory_mb': '200',
  'limits.max_fds': '4100',
  first_start: 'true',
  contracts: 'base,drain,health,rollout,pressure',
  'bounds.exposure_share': '0.1',
  'bounds.exposure_slack': '50',
  'bounds.rollback_ms': '5000',
  'bounds.grace_s': '8',
  'bounds.revoke_ms': '5000',
  'bounds.config_apply_ms': '2000',
  'bounds.drain_ms': '2000',
  'bounds.retry_budget_ratio': '0.2',
  'bounds.retry_budget_slack': '58',
  'bounds.budget_window_s': '10',
  'bounds.quota_window_s': '8',
};

function renderTemplate(name: string): string {
  const template = readFileSync(new URL(`../../../platform/${name}`, import.meta.url), 'utf8');
  const sections = template.replace(/\{\{[#/][\w.]+\}\}\n?/g, '');
  return sections.replace(/\{\{([\w.]+)\}\}/g, (_all, key: string) => {
    const value = VALUES[key];
    if (value === undefined) throw new Error(`the template needs a value for "${key}"`);
    return value;
  });
}

describe('settings on the platform', () => {
  it('are accepted by the entry', () => {
    expect(parseGatewaySettings(renderTemplate('entry.template.toml'))).toMatchSnapshot();
  });

  it('are accepted by the agent', () => {
    expect(parseAgentSettings(renderTemplate('agent.template.toml'))).toMatchSnapshot();
  });

  it('report every fault at once', () => {
    const text = 'instance = ""\nport = 3\n[bounds]\ngraceS = "8"\nkeyFreshness = 1\n';
    expect(parseGatewaySettings(text)).toMatchSnapshot();
    expect(parseGatewaySettings('instance = ')).toMatchSnapshot();
  });
});
