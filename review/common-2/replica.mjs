/* global Buffer, clearTimeout, performance, setTimeout */
/**
 * A stand-in for a replica. It works on `slots` requests at once, queues a few more, rejects the others with
 * `X-Not-Executed`, and stops working when the connection closes or the time budget is over.
 */
import { createServer } from 'node:http';

const QUEUE = 12;

/** A replica that records every request that arrives. */
export class Replica {
  #server = createServer({ keepAliveTimeout: 30_000 }, (incoming, outgoing) =>
    this.#handle(incoming, outgoing),
  );
  #running = new Set();
  #queue = [];
  #signatures = 0;
  #isLeaving = false;
  port = 0;

  /**
   * @param options.id - unique identifier of this incarnation
   * @param options.workMs - returns the time that a request takes, in milliseconds
   * @param options.onEvent - called with what happens: `arrived`, `started`, `answered`, `cut-off`, `rejected`
   */
  constructor({ id, service, zone, slots, workMs, store, onEvent, heartbeatMs = 1200 }) {
    Object.assign(this, { id, service, zone, slots, workMs, store, onEvent, heartbeatMs });
  }

  async start() {
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    this.port = this.#server.address().port;
    this.#register('ready');
    return this;
  }

  /** Says that it is about to leave; returns when the store has acknowledged it. */
  drain() {
    this.#isLeaving = true;
    this.#register('draining');
  }

  /** Ends: leaves the store, and closes the port and all connections. */
  stop() {
    this.store.remove('servers', this.id);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #register(state) {
    const { service, zone, slots } = this;
    const address = `127.0.0.1:${this.port}`;
    const entry = { service, address, zone, version: 'v1', slots, state, cold_left_ms: 0, seq: 1 };
    this.store.put('servers', this.id, entry);
  }

  #emit(what, request) {
    this.onEvent({ what, replica: this.id, id: request.id });
  }

  #handle(incoming, outgoing) {
    if (incoming.url === '/health') {
      outgoing.writeHead(this.#isLeaving ? 503 : 200, { 'x-instance-id': this.id }).end();
      return;
    }
    const { 'x-request-id': id = '', 'x-target-instance': target = this.id } = incoming.headers;
    const budgetMs = Number(incoming.headers['x-time-budget-ms'] ?? 60_000);
    const request = { id, outgoing, dueAt: performance.now() + budgetMs };
    if (target !== this.id) {
      outgoing.writeHead(421, { 'x-instance-id': this.id, 'x-request-id': id }).end();
      return;
    }
    this.#emit('arrived', request);
    incoming.resume();
    outgoing.once('close', () => this.#release(request));
    if (this.#running.size < this.slots) {
      this.#begin(request);
    } else if (this.#queue.length < QUEUE) {
      this.#queue.push(request);
    } else {
      this.#reject(request);
    }
  }

  #reject(request) {
    this.#emit('rejected', request);
    request.outgoing.writeHead(503, { 'x-not-executed': '1', 'x-request-id': request.id }).end();
  }

  #begin(request) {
    if (performance.now() >= request.dueAt) {
      this.#reject(request);
      return;
    }
    this.#running.add(request);
    this.#emit('started', request);
    const leftMs = request.dueAt - performance.now();
    const workMs = this.workMs(request.id);
    const status = workMs <= leftMs ? 200 : 504;
    request.timer = setTimeout(() => this.#answer(request, status), Math.min(workMs, leftMs));
  }

  #answer(request, status) {
    this.#signatures += 1;
    const body = Buffer.from(`answer to ${request.id}`);
    this.#emit(status === 200 ? 'answered' : 'timed out', request);
    request.isAnswered = true;
    request.outgoing.writeHead(status, {
      'x-request-id': request.id,
      'x-server-stamp': `${this.id}.${this.#signatures}`,
      'content-length': body.length,
      ...(this.#isLeaving && { connection: 'close' }),
    });
    request.outgoing.end(body);
  }

  /** The request has been answered, or its connection has been closed. */
  #release(request) {
    clearTimeout(request.timer);
    this.#queue = this.#queue.filter((each) => each !== request);
    if (this.#running.delete(request) && !request.isAnswered) {
      this.#emit('cut-off', request);
    }
    while (this.#queue.length > 0 && this.#running.size < this.slots) {
      this.#begin(this.#queue.shift());
    }
  }
}
