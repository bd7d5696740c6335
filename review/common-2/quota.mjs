/* global performance */
/** A tenant with a limit on its requests, for the cases about the rule QUOTA. Bounds are those of viveros-xela-grown. */
import { setTimeout as pause } from 'node:timers/promises';
import { send } from './client.mjs';

export const WINDOW_S = 5;
const OVERSHOOT = 0.1;
const SLACK = 20;
const HOST = 'stock.example';
const BUDGET_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** Settings of the gateways that differ from those of the smallest sites. */
export const QUOTA_BOUNDS = {
  drainMs: 5_000,
  configurationMs: 5_000,
  keyRevocationMs: 5_000,
  quotaWindowSeconds: WINDOW_S,
  quotaOvershoot: OVERSHOOT,
  quotaSlack: SLACK,
  retrySlack: 210,
};

const ROUTES = [
  {
    name: 'lookup',
    host: HOST,
    path_prefix: '/lookup/',
    service: 'compras',
    kind: 'safe',
    timeout_ms: BUDGET_MS,
    target_ms: 1_000,
    max_attempts: 2,
    priority: 2,
    anonymous: false,
  },
];
const SERVICES = [{ name: 'compras', health_path: '/health', max_conns: 110 }];

/** The requests of a tenant that replicas have run. */
export class TenantRuns {
  #startedAt = new Map();
  #sent = [];

  constructor(world, tenant) {
    Object.assign(this, { world, tenant });
    const { rate_per_s: rate, burst } = tenant;
    this.allowed = (rate * WINDOW_S + burst) * (1 + OVERSHOOT) + SLACK;
  }

  /** Writes the configuration, with further tenants, and starts two replicas. */
  async prepare(others = []) {
    const { world, tenant } = this;
    world.configure(1, { routes: ROUTES, services: SERVICES, tenants: [tenant, ...others] });
    const onEvent = ({ what, id, at }) => {
      if (what === 'started' && !this.#startedAt.has(id)) {
        this.#startedAt.set(id, at);
      }
    };
    const options = { service: 'compras', slots: 4, workMs: () => 5, onEvent };
    await world.startReplica({ ...options, id: 'r-1', zone: 'a' });
    await world.startReplica({ ...options, id: 'r-2', zone: 'b' });
  }

  /** Sends requests of a tenant over a gateway at an even rate; waits for all answers. */
  async sendVia(gateway, perSecond, forMs, tenant = this.tenant) {
    const { world } = this;
    const begin = performance.now();
    const count = Math.round((forMs / MS_PER_SECOND) * perSecond);
    const answers = [];
    for (let call = 0; call < count; call += 1) {
      const id = `${gateway.node}-${tenant.name}-${call}`;
      const headers = { 'api-key': tenant.api_keys[0] };
      const path = `/lookup/${id}`;
      const request = { port: gateway.callers, id, host: HOST, path, headers };
      answers.push(
        send({ ...request, budgetMs: BUDGET_MS }).then((answer) => {
          world.note(`client: ${id} got ${answer.outcome}`);
          return { ...answer, tenant: tenant.name };
        }),
      );
      const nextAt = begin + ((call + 1) * MS_PER_SECOND) / perSecond;
      await pause(Math.max(0, nextAt - performance.now()));
    }
    this.#sent.push(...(await Promise.all(answers)));
  }

  /** The share of the requests that were answered with success: of a tenant, or of all. */
  servedShare(tenant) {
    const sent = this.#sent.filter((each) => tenant === undefined || each.tenant === tenant.name);
    return sent.filter(({ outcome }) => outcome === 200).length / sent.length;
  }

  /** The violations of the rule QUOTA: the busiest window, if it has more requests than are allowed. */
  violations() {
    const runs = this.#sent
      .filter(({ id }) => this.#startedAt.has(id))
      .map(({ id, sentAt }) => ({ id, sentAt, startedAt: this.#startedAt.get(id) }));
    const countFrom = (from) =>
      runs.filter((run) => run.sentAt >= from && run.startedAt <= from + WINDOW_S * MS_PER_SECOND);
    const windows = runs.map(({ sentAt }) => countFrom(sentAt));
    const busiest = windows.reduce((most, each) => (each.length > most.length ? each : most), []);
    const summary =
      `${busiest.length} requests of the tenant were sent and run within ${WINDOW_S} s, ` +
      `${this.allowed.toFixed(1)} are allowed`;
    this.world.note(summary);
    const byGateway = this.world.gateways.map(({ node }) => {
      const count = busiest.filter(({ id }) => id.startsWith(node)).length;
      return `${count} by ${node}`;
    });
    this.world.note(`of these ${byGateway.join(', ')}`);
    return busiest.length > this.allowed ? [summary] : [];
  }
}
