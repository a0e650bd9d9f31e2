/* global performance, setTimeout, Buffer, URL */
/**
 * Stand-in of the platform's metadata store, after PROTOCOL.md: rows in tables, transactions with
 * conditions, reads of a table and of its changes. It can be down, and it can come back from an
 * older copy of itself with the next `Store-Era`.
 */
import { createServer } from 'node:http';

const POLL_MS = 5;
const PAGE_ROWS = 500;

export async function startStore(host) {
  let rows = new Map();
  let revision = 0;
  let era = 1;
  /** up, busy (503), reset, or silent. */
  let mode = 'up';
  const sockets = new Set();

  const nameOf = (table, part, key) => JSON.stringify([table, part, key]);

  function writeRow(table, part, key, value) {
    revision += 1;
    rows.set(nameOf(table, part, key), { table, part, key, value, row_version: revision });
  }

  function dropRow(table, part, key) {
    const row = rows.get(nameOf(table, part, key));
    if (!row || row.deleted) return;
    revision += 1;
    rows.set(nameOf(table, part, key), {
      table,
      part,
      key,
      value: '',
      row_version: revision,
      deleted: true,
    });
  }

  function list(table, accept) {
    return [...rows.values()].filter((row) => row.table === table && accept(row));
  }

  function send(response, status, body) {
    if (mode === 'silent') return;
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': String(era) });
    response.end(JSON.stringify({ ...body, row_version: revision, now_ms: performance.now() }));
  }

  function answerGet(query, response) {
    const from = query.get('from') ?? '';
    const all = list(
      query.get('table'),
      (row) => !row.deleted && row.part === (query.get('part') ?? '') && row.key >= from,
    ).sort((left, right) => (left.key < right.key ? -1 : 1));
    const page = all.slice(0, Number(query.get('limit') ?? PAGE_ROWS));
    send(response, 200, { rows: page, has_more: page.length < all.length });
  }

  async function answerFeed(query, response) {
    const after = Number(query.get('after_revision'));
    const startEra = era;
    if (after > revision) {
      send(response, 410, {});
      return;
    }
    const endAt = performance.now() + Number(query.get('wait_ms') ?? 0);
    const find = () => list(query.get('table'), (row) => row.row_version > after);
    while (find().length === 0 && performance.now() < endAt) {
      await new Promise((resolve) => {
        setTimeout(resolve, POLL_MS);
      });
      if (mode !== 'up' || era !== startEra) {
        response.destroy();
        return;
      }
    }
    const changed = find().sort((left, right) => left.row_version - right.row_version);
    send(response, 200, { rows: changed });
  }

  function answerWrite(body, response) {
    const { expected_revision: expected = [], writes = [], remove = [] } = JSON.parse(body);
    const failed = expected.filter(({ table, part = '', key, row_version: wanted }) => {
      const row = rows.get(nameOf(table, part, key));
      return wanted !== (row && !row.deleted ? row.row_version : 0);
    });
    if (failed.length > 0) {
      const current = failed
        .map(({ table, part = '', key }) => rows.get(nameOf(table, part, key)))
        .filter((row) => row && !row.deleted);
      send(response, 412, { rows: current });
      return;
    }
    for (const { table, part = '', key, value } of writes) writeRow(table, part, key, value);
    for (const { table, part = '', key } of remove) dropRow(table, part, key);
    send(response, 200, {});
  }

  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('end', () => {
      if (mode === 'silent') return;
      if (mode === 'reset') {
        request.socket.destroy();
        return;
      }
      if (mode === 'busy') {
        send(response, 503, {});
        return;
      }
      const url = new URL(request.url, 'http://store');
      const body = Buffer.concat(chunks).toString();
      if (url.pathname === '/v1/rows-get') answerGet(url.searchParams, response);
      else if (url.pathname === '/v1/rows-feed') answerFeed(url.searchParams, response);
      else if (url.pathname === '/v1/rows-tx') answerWrite(body, response);
      else send(response, 404, {});
    });
  });
  server.keepAliveTimeout = 30_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });

  return {
    address: `${host}:${server.address().port}`,
    put: (table, key, value) =>
      writeRow(table, '', key, Buffer.from(JSON.stringify(value)).toString('base64')),
    remove: (table, key) => dropRow(table, '', key),
    has(table, key) {
      const row = rows.get(nameOf(table, '', key));
      return row !== undefined && !row.deleted;
    },
    read(table, key) {
      const row = rows.get(nameOf(table, '', key));
      return row && !row.deleted ? Buffer.from(row.value, 'base64').toString() : undefined;
    },
    copy: () => ({ rows: new Map(rows), revision }),
    restore(copy) {
      rows = new Map(copy.rows);
      revision = copy.revision;
      era += 1;
    },
    setMode(next) {
      mode = next;
      if (next === 'reset' || next === 'busy') for (const socket of sockets) socket.destroy();
    },
    getMode: () => mode,
    getEra: () => era,
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
