/**
 * Stand-in of the platform's metadata store: rows, conditional writes and a change feed over
 * HTTP/1.1, as PROTOCOL.md describes them. `down` leaves calls unanswered; `restore` continues from
 * an earlier copy under the next era, as in the drill of the users' letter 4.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';

const POLL_MS = 5;

export async function startStore() {
  let rows = new Map();
  let version = 0;
  let era = 1;
  const faults = { down: false };

  function writeRow(table, key, value) {
    version += 1;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const encoded = Buffer.from(text).toString('base64');
    rows.set(`${table}/${key}`, { table, part: '', key, value: encoded, row_version: version });
    return version;
  }

  function remove(table, key) {
    version += 1;
    const gone = { table, part: '', key, value: '', row_version: version, deleted: true };
    rows.set(`${table}/${key}`, gone);
  }

  function send(response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': String(era) });
    response.end(JSON.stringify({ ...body, row_version: version, now_ms: performance.now() }));
  }

  function list(table) {
    return [...rows.values()].filter((row) => row.table === table);
  }

  function readRows(query, response) {
    const from = query.get('from') ?? '';
    const found = list(query.get('table')).filter((row) => !row.deleted && row.key >= from);
    found.sort((left, right) => (left.key < right.key ? -1 : 1));
    send(response, 200, { rows: found.slice(0, 500), has_more: found.length > 500 });
  }

  function readFeed(query, response, startedAt = performance.now()) {
    const after = Number(query.get('after_revision'));
    if (after > version) {
      send(response, 410, {});
      return;
    }
    const found = list(query.get('table')).filter((row) => row.row_version > after);
    found.sort((left, right) => left.row_version - right.row_version);
    const waitedMs = performance.now() - startedAt;
    if (found.length > 0 || waitedMs >= Number(query.get('wait_ms') ?? 0)) {
      send(response, 200, { rows: found });
    } else {
      setTimeout(() => !faults.down && readFeed(query, response, startedAt), POLL_MS);
    }
  }

  function write(body, response) {
    const { expected_revision: conditions = [], writes = [], remove: removed = [] } = body;
    const current = conditions.map(({ table, key }) => {
      const row = rows.get(`${table}/${key}`);
      return row && !row.deleted ? row : undefined;
    });
    const holds = conditions.every(
      (condition, index) => (current[index]?.row_version ?? 0) === condition.row_version,
    );
    if (!holds) {
      send(response, 412, { rows: current.filter((row) => row !== undefined) });
      return;
    }
    if ([...writes, ...removed].some(({ table }) => table === 'op' || table === 'servers')) {
      send(response, 403, {});
      return;
    }
    for (const { table, key, value } of writes) {
      writeRow(table, key, Buffer.from(value, 'base64').toString());
    }
    for (const { table, key } of removed) remove(table, key);
    send(response, 200, {});
  }

  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (faults.down) return;
      const { pathname, searchParams } = new URL(request.url, 'http://store');
      if (pathname === '/v1/rows-get') readRows(searchParams, response);
      else if (pathname === '/v1/rows-feed') readFeed(searchParams, response);
      else if (pathname === '/v1/rows-tx') write(JSON.parse(Buffer.concat(chunks)), response);
      else send(response, 404, {});
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    faults,
    put: writeRow,
    remove,
    copy: () => ({ rows: new Map(rows), version }),
    restore(copy) {
      rows = new Map(copy.rows);
      ({ version } = copy);
      era += 1;
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
