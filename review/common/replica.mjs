/** A sound replica of PROTOCOL.md: slots, a short queue, targets, signatures, health, heartbeats and drains. */
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';

/** Starts of replicas are numbered, since each start has a new identifier. */
let started = 0;

/** One incarnation of a replica. */
export class Replica {
  /**
   * @param work - returns the work of a request in milliseconds and its answer's body
   * @param onRun - called when the replica begins to work on a request
   * @param losesAnswer - whether a request that has run gets a reset in place of its answer
   */
  constructor({
    host,
    store,
    service,
    zone,
    slots,
    queue,
    heartbeatMs,
    idleMs,
    work,
    onArrival,
    onRun,
    losesAnswer,
  }) {
    started += 1;
    this.id = `i-${String(started).padStart(4, '0')}`;
    Object.assign(this, { host, store, service, zone, slots, queue, heartbeatMs, work });
    this.onArrival = onArrival ?? (() => undefined);
    this.onRun = onRun ?? (() => undefined);
    this.losesAnswer = losesAnswer ?? (() => false);
    this.state = 'ready';
    this.seq = 0;
    this.running = 0;
    this.waiting = [];
    this.server = createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = idleMs ?? 60_000;
  }

  async start() {
    await new Promise((resolve) => {
      this.server.listen(0, this.host, resolve);
    });
    this.address = `${this.host}:${this.server.address().port}`;
    this.beat();
    this.timer = setInterval(() => this.beat(), this.heartbeatMs);
  }

  beat() {
    this.seq += 1;
    this.store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      cold_left_ms: 0,
      seq: this.seq,
    });
  }

  /** Says `draining`; the return is the store's acknowledgement. The replica serves on. */
  drain() {
    this.state = 'draining';
    this.beat();
  }

  stop() {
    clearInterval(this.timer);
    this.store.remove('servers', this.id);
    this.server.close();
    this.server.closeAllConnections();
  }

  handle(request, response) {
    request.resume();
    const id = request.headers['x-request-id'];
    const target = request.headers['x-target-instance'];
    if (request.url === '/health') {
      response.writeHead(this.state === 'ready' ? 200 : 503, { 'x-instance-id': this.id });
      response.end();
      return;
    }
    if (target !== undefined && target !== this.id) {
      response.writeHead(421, { 'x-instance-id': this.id }).end();
      return;
    }
    this.onArrival(this, id, request);
    const budgetMs = Number(request.headers['x-time-budget-ms'] ?? 60_000);
    const job = { request, response, id, dueAt: performance.now() + budgetMs };
    if (id === undefined || (this.running >= this.slots && this.waiting.length >= this.queue)) {
      this.reject(job, id === undefined ? 400 : 503);
    } else if (this.running < this.slots) {
      this.run(job);
    } else {
      this.waiting.push(job);
    }
  }

  reject({ id, response }, status) {
    response.writeHead(status, { 'x-not-executed': '1', ...(id && { 'x-request-id': id }) }).end();
  }

  run(job) {
    const { request, response, id, dueAt } = job;
    this.running += 1;
    this.onRun(this, id, request);
    const { workMs, body } = this.work(request);
    const leftMs = Math.max(0, dueAt - performance.now());
    let isOver = false;
    const end = () => {
      if (!isOver) {
        isOver = true;
        this.endRun();
      }
    };
    const timer = setTimeout(
      () => {
        this.answer(job, workMs <= leftMs ? 200 : 504, body);
        end();
      },
      Math.min(workMs, leftMs),
    );
    response.on('close', () => {
      clearTimeout(timer);
      end();
    });
  }

  answer({ id, response }, status, body) {
    if (this.losesAnswer(this, id)) {
      response.socket.resetAndDestroy();
      return;
    }
    const stamp = `${this.id}.${id}`;
    response.writeHead(status, {
      'x-request-id': id,
      'x-server-stamp': stamp,
      'content-length': body.length,
    });
    response.end(body);
  }

  endRun() {
    this.running -= 1;
    for (let next = this.waiting.shift(); next !== undefined; next = this.waiting.shift()) {
      if (next.response.destroyed) {
        continue;
      }
      if (next.dueAt <= performance.now()) {
        this.reject(next, 503);
        continue;
      }
      this.run(next);
      return;
    }
  }
}
