import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { expect } from 'chai';
import { RelayMode, startRelay, type Relay } from '../src/soak/relay.js';

const HOST = '127.0.0.1';
const TEXT = 'the whole answer';
/** Longer than the delay of the relay. */
const WAIT_MS = 400;

interface Received {
  text: string;
  hasEnded: boolean;
}

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

function collect(socket: Socket): Received {
  const received: Received = { text: '', hasEnded: false };
  socket.on('data', (bytes) => {
    received.text += bytes.toString();
  });
  socket.on('end', () => {
    received.hasEnded = true;
  });
  socket.on('error', () => undefined);
  return received;
}

describe('relay of the soak', () => {
  let relay: Relay;
  let closeServer: () => void;

  /** Connects through a relay in a mode to a server that sends its text and closes. */
  async function receive(
    mode: RelayMode,
    sendText = (socket: Socket) => socket.end(TEXT),
  ): Promise<Received> {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      sendText(socket);
    }).listen(0, HOST);
    await once(server, 'listening');
    closeServer = () => server.close();
    relay = await startRelay(HOST, `${HOST}:${(server.address() as AddressInfo).port}`);
    relay.setMode(mode);
    const [host, port] = relay.address.split(':');
    const received = collect(connect(Number(port), host));
    await wait(WAIT_MS);
    return received;
  }

  afterEach(() => {
    relay.close();
    closeServer();
  });

  // The end overtook delayed bytes: a complete answer without a length looked shorter than it was.
  it('delays the end of a connection with its bytes', async () => {
    expect(await receive(RelayMode.Delay)).to.deep.equal({ text: TEXT, hasEnded: true });
  });

  it('drops the end of a connection with its bytes', async () => {
    expect(await receive(RelayMode.Cut)).to.deep.equal({ text: '', hasEnded: false });
  });

  // The reset of a server became a regular end: an interrupted stream without chunks looked whole.
  it('passes a reset on', async () => {
    const received = await receive(RelayMode.Pass, (socket) => {
      socket.write(TEXT);
      setTimeout(() => socket.resetAndDestroy(), WAIT_MS / 4);
      return socket;
    });
    expect(received).to.deep.equal({ text: TEXT, hasEnded: false });
  });

  it('holds bytes and the end of a connection during a pause', async () => {
    const received = await receive(RelayMode.Pass, (socket) => {
      relay.pause(false);
      return socket.end(TEXT);
    });
    expect(received).to.deep.equal({ text: '', hasEnded: false });
    relay.resume();
    await wait(WAIT_MS / 4);
    expect(received).to.deep.equal({ text: TEXT, hasEnded: true });
  });

  it('cuts the first chunk of a pause, and goes on exactly there', async () => {
    const received = await receive(RelayMode.Pass, (socket) => {
      relay.pause(true);
      socket.write(TEXT);
      setTimeout(() => socket.end(TEXT), WAIT_MS / 4);
      return socket;
    });
    expect(received).to.deep.equal({ text: TEXT.slice(0, TEXT.length / 2), hasEnded: false });
    relay.resume();
    await wait(WAIT_MS / 4);
    expect(received).to.deep.equal({ text: `${TEXT}${TEXT}`, hasEnded: true });
  });

  it('accepts connections during a pause, and forwards their bytes afterwards', async () => {
    let requestText = '';
    await receive(RelayMode.Pass, (socket) => {
      relay.pause(false);
      socket.on('data', (bytes) => {
        requestText += bytes.toString();
      });
      return socket;
    });
    const [host, port] = relay.address.split(':');
    const client = connect(Number(port), host);
    await once(client, 'connect');
    client.write(TEXT);
    await wait(WAIT_MS / 4);
    expect(requestText).to.equal('');
    relay.resume();
    await wait(WAIT_MS / 4);
    expect(requestText).to.equal(TEXT);
    client.destroy();
  });

  it('passes bytes and the end of a connection on', async () => {
    expect(await receive(RelayMode.Pass)).to.deep.equal({ text: TEXT, hasEnded: true });
  });
});
