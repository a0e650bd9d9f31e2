/* global setTimeout */
/**
 * The way from a worker to the entries, at a fixed address. While it is cut one way, what the
 * worker sends is held up, also past the end of the worker's process, and arrives afterwards.
 */
import { connect, createServer } from 'node:net';

const RETRY_MS = 50;

export async function startRelay(host) {
  let target;
  let isCut = false;
  const channels = new Set();

  function openChannel(down) {
    const channel = { held: [], isEnded: false };
    channels.add(channel);
    channel.pass = () => {
      for (const chunk of channel.held.splice(0)) down.write(chunk);
      if (channel.isEnded) down.end();
    };
    down.on('error', () => undefined);
    const up = connect(target);
    up.on('error', () => undefined);
    down.on('data', (chunk) => up.write(chunk));
    down.on('close', () => {
      channels.delete(channel);
      up.destroy();
    });
    up.on('data', (chunk) => {
      channel.held.push(chunk);
      if (!isCut) channel.pass();
    });
    up.on('close', () => {
      channel.isEnded = true;
      if (!isCut) channel.pass();
    });
  }

  const server = createServer({ allowHalfOpen: true }, (down) => {
    if (target) openChannel(down);
    else setTimeout(() => (target ? openChannel(down) : down.destroy()), RETRY_MS);
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    setTarget(address) {
      const [targetHost, port] = address.split(':');
      target = { host: targetHost, port: Number(port) };
    },
    cut() {
      isCut = true;
    },
    /** Returns how many channels had bytes held up. */
    heal() {
      isCut = false;
      const held = [...channels].filter((channel) => channel.held.length > 0);
      for (const channel of channels) channel.pass();
      return held.length;
    },
    close: () => server.close(),
  };
}
