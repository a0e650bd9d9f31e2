import { expect } from 'chai';
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { fileURLToPath } from 'node:url';
import { reservePorts } from '../src/ports.js';

const LOCAL_PORT_RANGE = '/proc/sys/net/ipv4/ip_local_port_range';
const PROCESSES = 3;

/** Reserves ports in another process. */
function reserveElsewhere(count: number): number[] {
  const module = fileURLToPath(new URL('../src/ports.ts', import.meta.url));
  const script = `import { reservePorts } from '${module}';
    console.log(JSON.stringify(await reservePorts(${count})));`;
  const args = ['--import=tsx', '--input-type=module', '--eval', script];
  return JSON.parse(execFileSync(process.execPath, args, { encoding: 'utf8' })) as number[];
}

describe('ports of tests', () => {
  // A port was taken by another process or connection before the server of the test was bound.
  it('belong to one process, outside the range of the local ports of connections', async () => {
    const own = (await Promise.all([reservePorts(60), reservePorts(60)])).flat();
    const others = Array.from({ length: PROCESSES }, () => reserveElsewhere(60)).flat();
    expect(new Set(own).size).to.equal(120);
    expect(others.filter((port) => own.includes(port))).to.deep.equal([]);
    const firstLocalPort = Number(readFileSync(LOCAL_PORT_RANGE, 'utf8').split(/\s/)[0]);
    expect(Math.max(...own, ...others)).to.be.below(firstLocalPort);
  });

  it('can be bound', async () => {
    const [port] = await reservePorts(1);
    const server = createServer();
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', resolve);
    });
    server.close();
  });
});
