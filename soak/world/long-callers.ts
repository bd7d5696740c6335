/** Callers whose requests take long, over connections that rest between them: most are open when a gateway stops. */
import { setMaxListeners } from 'node:events';
import { Agent } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import type { Random } from '../../src/core/random.js';
import type { Callers } from './callers.js';
import type { GatewayProcess } from './gateway-process.js';
import { PREFIXES } from './routes.js';

/** Number of callers of each gateway. */
const CALLERS = 16;

/** Minimum and maximum time for which a connection rests between two requests, in milliseconds. */
const MIN_REST_MS = 500;
const MAX_REST_MS = 9_000;

/** Minimum and maximum processing time of a request, in milliseconds. */
const MIN_WORK_MS = 300;
const MAX_WORK_MS = 2_500;

/** Time budget of each request, in milliseconds. */
const TIME_BUDGET_MS = 15_000;

const drawBetween = (random: Random, least: number, most: number): number =>
  least + random.nextBelow(most - least + 1);

/** All callers with long requests. */
export class LongCallers {
  private readonly ended: Promise<void>[] = [];
  private readonly stopping = new AbortController();

  constructor(private readonly callers: Callers) {
    setMaxListeners(0, this.stopping.signal);
  }

  start(gateway: GatewayProcess, random: Random): void {
    for (let index = 0; index < CALLERS; index += 1) {
      this.ended.push(this.runCaller(gateway, random));
    }
  }

  /** Stops all callers; resolves when the requests in progress have ended. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all(this.ended);
  }

  private async runCaller(gateway: GatewayProcess, random: Random): Promise<void> {
    const { signal } = this.stopping;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!signal.aborted) {
      const prefix = random.nextBelow(2) === 0 ? PREFIXES.longOnce : PREFIXES.long;
      const workMs = drawBetween(random, MIN_WORK_MS, MAX_WORK_MS);
      await this.callers.sendOver(agent, gateway, prefix, workMs, TIME_BUDGET_MS);
      const restMs = drawBetween(random, MIN_REST_MS, MAX_REST_MS);
      await pause(restMs, undefined, { signal }).catch(() => undefined);
    }
    agent.destroy();
  }
}
