/** The platform's store, as far as PROTOCOL.md describes it: objects by kind, lists, watches and conditional writes. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const PAGE_SIZE = 50;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
};

/** An in-memory store that answers over HTTP. */
export class Store {
  constructor() {
    this.revision = 100;
    this.kinds = new Map();
    this.history = [];
    this.watchers = new Set();
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async listen(host) {
    await new Promise((resolve) => {
      this.server.listen(0, host, resolve);
    });
    return this.server.address().port;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  kind(name) {
    const known = this.kinds.get(name) ?? new Map();
    this.kinds.set(name, known);
    return known;
  }

  /** Writes an object as the operator or a replica does; the return is the acknowledgement. */
  put(kind, name, spec) {
    this.revision += 1;
    const known = this.kind(kind).get(name);
    const meta = {
      name,
      revision: this.revision,
      created: known?.meta.created ?? this.revision,
      finalizers: [],
      deleting: false,
    };
    const object = { meta, spec, status: known?.status ?? null };
    this.kind(kind).set(name, object);
    this.publish(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const object = this.kind(kind).get(name);
    if (object !== undefined) {
      this.revision += 1;
      this.kind(kind).delete(name);
      const meta = { ...object.meta, revision: this.revision };
      this.publish(kind, { ...object, meta }, true);
    }
  }

  publish(kind, object, gone) {
    this.history.push({ kind, revision: this.revision, event: { gone, object } });
    [...this.watchers].forEach((notify) => notify());
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, , , kind, name] = url.pathname.split('/');
    const body = await readBody(request);
    const send = (status, value) => {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(value));
    };
    if (request.method === 'GET' && name === undefined) {
      this.list(kind, url.searchParams, response, send);
    } else {
      this.write(request.method, kind, name ?? body.meta?.name, body, send);
    }
  }

  list(kind, query, response, send) {
    if (query.has('watch')) {
      this.watch(kind, Number(query.get('watch')), Number(query.get('wait_ms')), response, send);
      return;
    }
    const after = query.get('after') ?? '';
    const names = [...this.kind(kind).keys()].filter((each) => each > after).sort();
    const items = names.slice(0, PAGE_SIZE).map((each) => this.kind(kind).get(each));
    send(200, { items, more: names.length > PAGE_SIZE, at: this.revision });
  }

  watch(kind, since, waitMs, response, send) {
    const find = () => this.history.filter((each) => each.kind === kind && each.revision > since);
    let timer;
    const finish = () => {
      clearTimeout(timer);
      this.watchers.delete(notify);
      send(200, { events: find().map(({ event }) => event), at: this.revision });
    };
    const notify = () => {
      if (find().length > 0) {
        finish();
      }
    };
    timer = setTimeout(finish, waitMs);
    this.watchers.add(notify);
    response.on('close', () => {
      clearTimeout(timer);
      this.watchers.delete(notify);
    });
    notify();
  }

  write(method, kind, name, body, send) {
    const known = this.kind(kind).get(name);
    if (method === 'GET') {
      send(known === undefined ? 404 : 200, known ?? {});
    } else if (method === 'POST') {
      send(known === undefined ? 200 : 409, known ?? this.put(kind, name, body.spec));
    } else if (known === undefined) {
      send(404, {});
    } else if (body.meta?.revision !== undefined && body.meta.revision !== known.meta.revision) {
      send(409, known);
    } else if (method === 'DELETE') {
      this.remove(kind, name);
      send(200, known);
    } else {
      send(200, this.put(kind, name, body.spec));
    }
  }
}
