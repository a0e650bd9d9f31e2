/**
 * Ports for servers of tests and benchmarks. A free port that the system chose may be taken again
 * before the server is bound to it, by another process or as the local port of a connection.
 * Ports are therefore reserved in blocks below the range of such local ports; a process owns a
 * block while it listens on the block's first port.
 */
import { createServer } from 'node:net';

const FIRST_PORT = 10_000;
/** The first port that the system may choose as the local port of a connection. */
const END_PORT = 32_000;
const PORTS_PER_BLOCK = 50;
const BLOCKS = (END_PORT - FIRST_PORT) / PORTS_PER_BLOCK;
const HOST = '127.0.0.1';

/** Ports of this process's blocks that were not handed out yet. */
const ownPorts: number[] = [];
let nextBlock = process.pid % BLOCKS;

/** Reserves ports, on every loopback address, until the process ends. */
export async function reservePorts(count: number): Promise<number[]> {
  while (ownPorts.length < count) await reserveBlock();
  return ownPorts.splice(0, count);
}

async function reserveBlock(): Promise<void> {
  for (let tried = 0; tried < BLOCKS; tried += 1) {
    const firstPort = FIRST_PORT + nextBlock * PORTS_PER_BLOCK;
    nextBlock = (nextBlock + 1) % BLOCKS;
    if (await tryListen(firstPort)) {
      for (let index = 1; index < PORTS_PER_BLOCK; index += 1) ownPorts.push(firstPort + index);
      return;
    }
  }
  throw new Error(`no free block of ports from ${FIRST_PORT} to ${END_PORT}`);
}

/** Listens on a port until the process ends; returns false if another process does. */
function tryListen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen({ port, host: HOST, exclusive: true }, () => resolve(true));
    server.unref();
  });
}
