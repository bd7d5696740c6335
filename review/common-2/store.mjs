/* global Buffer, URL, clearTimeout, setTimeout */
/**
 * A stand-in for the platform's store: objects by kind and name, lists, watches and conditional writes, with one counter of
 * revisions. It keeps its whole history.
 */
import { createServer } from 'node:http';

const OBJECTS_PATH = /^\/v1\/objects\/([^/?]+)(?:\/([^/?]+))?(\/status)?$/;
const PAGE_SIZE = 500;

const readBody = async (incoming) => {
  const chunks = [];
  for await (const chunk of incoming) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
};

const send = (outgoing, status, body) => {
  if (!outgoing.destroyed) {
    outgoing.writeHead(status, { 'content-type': 'application/json' });
    outgoing.end(JSON.stringify(body));
  }
};

/** The status with which a write is refused; undefined if it is done. */
const problemOfWrite = (method, known, wantedRevision) => {
  if (method === 'POST') {
    return known === undefined ? undefined : 409;
  }
  if (known === undefined) {
    return 404;
  }
  const conflicts = wantedRevision !== undefined && known.meta.revision !== Number(wantedRevision);
  return conflicts ? 409 : undefined;
};

/** The store. */
export class Store {
  #server = createServer((incoming, outgoing) => {
    this.#handle(incoming, outgoing).catch(() => outgoing.destroy());
  });
  #kinds = new Map();
  #events = [];
  #revision = 1;
  #watchers = new Set();
  #extraServers = [];
  #losing = new Map();
  #mutedSockets = new WeakSet();
  port = 0;

  /** Starts the store on a free port. */
  async start() {
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    this.port = this.#server.address().port;
    return this;
  }

  /** Opens one more port of the same store, so that the calls of one gateway can be told from the others. */
  async openPort() {
    const server = createServer((incoming, outgoing) => {
      this.#handle(incoming, outgoing).catch(() => outgoing.destroy());
    });
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    this.#extraServers.push(server);
    return server.address().port;
  }

  /**
   * Loses the next answer to a call over `port` for which `matches` is true. The connection on which an answer is lost says
   * nothing more and stays open; all other connections work.
   *
   * @param matches - gets the kind and the query of the call
   */
  loseAnswer(port, matches, onLost) {
    this.#losing.set(port, { matches, onLost });
  }

  stop() {
    [this.#server, ...this.#extraServers].forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  /** Writes an object as the operator or a replica does; the write is acknowledged when this returns. */
  put(kind, name, spec) {
    this.#revision += 1;
    const meta = { name, revision: this.#revision, created: 1, finalizers: [], deleting: false };
    const object = { meta, spec, status: null };
    this.#objectsOf(kind).set(name, object);
    this.#append(kind, object, false);
    return object;
  }

  /** Removes an object. */
  remove(kind, name) {
    const object = this.#objectsOf(kind).get(name);
    if (object !== undefined) {
      this.#revision += 1;
      this.#objectsOf(kind).delete(name);
      this.#append(kind, object, true);
    }
  }

  names(kind) {
    return [...this.#objectsOf(kind).keys()];
  }

  #objectsOf(kind) {
    const known = this.#kinds.get(kind) ?? new Map();
    this.#kinds.set(kind, known);
    return known;
  }

  #append(kind, object, gone) {
    this.#events.push({ kind, revision: this.#revision, object, gone });
    [...this.#watchers].forEach((watcher) => watcher());
  }

  async #handle(incoming, outgoing) {
    const url = new URL(incoming.url, 'http://store');
    const [, kind, name] = OBJECTS_PATH.exec(url.pathname) ?? [];
    if (this.#mutedSockets.has(incoming.socket)) {
      return;
    }
    if (kind === undefined) {
      send(outgoing, 404, { error: 'no such path' });
    } else if (incoming.method === 'GET') {
      this.#read(kind, name, url.searchParams, outgoing);
    } else {
      await this.#write(kind, name, incoming, url.searchParams, outgoing);
    }
  }

  #read(kind, name, query, outgoing) {
    if (name !== undefined) {
      const object = this.#objectsOf(kind).get(name);
      send(outgoing, object === undefined ? 404 : 200, object ?? { error: 'no such object' });
    } else if (query.has('watch')) {
      this.#watch(kind, query, outgoing);
    } else if (!this.#isLost(kind, query, outgoing.socket)) {
      const after = query.get('after') ?? '';
      const names = this.names(kind)
        .sort()
        .filter((each) => each > after);
      const items = names.slice(0, PAGE_SIZE).map((each) => this.#objectsOf(kind).get(each));
      send(outgoing, 200, { items, more: names.length > items.length, at: this.#revision });
    }
  }

  #watch(kind, query, outgoing) {
    const after = Number(query.get('watch'));
    const waitMs = Number(query.get('wait_ms'));
    const answer = (isOver) => {
      const events = this.#events.filter((each) => each.kind === kind && each.revision > after);
      if (events.length === 0 && !isOver) {
        return;
      }
      clearTimeout(timer);
      this.#watchers.delete(watcher);
      if (events.length > 0 && this.#isLost(kind, query, outgoing.socket)) {
        return;
      }
      const changes = events.map(({ object, gone }) => ({ object, gone }));
      send(outgoing, 200, { events: changes, at: this.#revision });
    };
    const watcher = () => answer(false);
    const timer = setTimeout(() => answer(true), waitMs);
    outgoing.once('close', () => {
      clearTimeout(timer);
      this.#watchers.delete(watcher);
    });
    this.#watchers.add(watcher);
    watcher();
  }

  /** Whether the answer to a call is to be lost; its connection is then muted. */
  #isLost(kind, query, socket) {
    const losing = this.#losing.get(socket?.localPort);
    if (losing === undefined || !losing.matches(kind, query)) {
      return false;
    }
    this.#losing.delete(socket.localPort);
    this.#mutedSockets.add(socket);
    losing.onLost();
    return true;
  }

  async #write(kind, name, incoming, query, outgoing) {
    const sent = await readBody(incoming);
    const target = name ?? sent.meta?.name;
    const known = this.#objectsOf(kind).get(target);
    const wanted = sent.meta?.revision ?? query.get('revision') ?? undefined;
    const problem = problemOfWrite(incoming.method, known, wanted);
    if (problem !== undefined) {
      send(outgoing, problem, known ?? { error: 'no such object' });
    } else if (incoming.method === 'DELETE') {
      this.remove(kind, target);
      send(outgoing, 200, known);
    } else {
      const isSame = JSON.stringify(known?.spec) === JSON.stringify(sent.spec);
      send(outgoing, 200, isSame ? known : this.put(kind, target, sent.spec));
    }
  }
}
