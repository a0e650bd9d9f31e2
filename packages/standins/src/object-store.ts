/** Stand-in for the platform's object store: texts by key, in memory. */
import { startStandIn, type StandIn } from './http.js';

/** A running object store. */
export interface ObjectStoreStandIn extends StandIn {
  /** Stored texts by key. */
  objects: Map<string, string>;
}

/** Starts an empty object store. */
export async function startObjectStore(port: number): Promise<ObjectStoreStandIn> {
  const objects = new Map<string, string>();
  const standIn = await startStandIn(port, (request, response, body) => {
    const key = decodeURIComponent((request.url ?? '').replace(/^\/objects\//, ''));
    if (request.method === 'PUT') {
      objects.set(key, body.toString('utf8'));
      response.writeHead(204).end();
    } else if (request.method === 'DELETE') {
      objects.delete(key);
      response.writeHead(204).end();
    } else if (objects.has(key)) {
      response.writeHead(200).end(objects.get(key));
    } else {
      response.writeHead(404).end();
    }
  });
  return Object.assign(standIn, { objects });
}
