/** Callers that send requests on a connection while earlier ones are in progress, over links with a delay. */
import { setMaxListeners } from 'node:events';
import { setTimeout as pause } from 'node:timers/promises';
import type { Random } from '../../src/core/random.js';
import type { Callers } from './callers.js';
import type { GatewayProcess } from './gateway-process.js';
import { PipelinedConnection } from './pipelined-connection.js';
import { PREFIXES } from './routes.js';

/** Number of callers of each gateway. */
const CALLERS = 4;

/** Minimum and maximum number of requests that are sent without waiting for answers. */
const MIN_REQUESTS = 2;
const MAX_REQUESTS = 4;

/** Maximum time between two of these requests, in milliseconds; half of them follow at once. */
const MAX_GAP_MS = 600;

/** One in this many series is abandoned: its caller closes the connection some time after the last request. */
const ABANDONED_ONE_IN = 10;
const MAX_WAIT_MS = 400;

/** Minimum and maximum time for which a connection rests after its answers, in milliseconds. */
const MIN_REST_MS = 50;
const MAX_REST_MS = 2_000;

/** Minimum and maximum processing time of long and of other requests, in milliseconds. */
const LONG_WORK_MS = [200, 1_500] as const;
const SHORT_WORK_MS = [1, 200] as const;

/** Time budget of each request, in milliseconds: answers wait for those to earlier requests. */
const TIME_BUDGET_MS = 15_000;

/** Routes of the requests; long ones delay the answers to the others. */
const SENT_PREFIXES = [
  PREFIXES.long,
  PREFIXES.long,
  PREFIXES.longOnce,
  PREFIXES.gather,
  PREFIXES.moving,
  PREFIXES.once,
] as const;

const drawBetween = (random: Random, least: number, most: number): number =>
  least + random.nextBelow(most - least + 1);

const workRangeOf = (prefix: string): readonly [number, number] =>
  prefix === PREFIXES.long || prefix === PREFIXES.longOnce ? LONG_WORK_MS : SHORT_WORK_MS;

/** All callers that send further requests while earlier ones are in progress. */
export class ConcurrentCallers {
  private readonly ended: Promise<void>[] = [];
  private readonly stopping = new AbortController();

  constructor(private readonly callers: Callers) {
    setMaxListeners(0, this.stopping.signal);
  }

  /** Starts the callers of a gateway, whose bytes take `linkDelayMs` milliseconds in each direction. */
  start(gateway: GatewayProcess, linkDelayMs: number, random: Random): void {
    for (let index = 0; index < CALLERS; index += 1) {
      this.ended.push(this.runCaller(gateway, linkDelayMs, random));
    }
  }

  /** Stops all callers; resolves when the requests in progress have ended. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all(this.ended);
  }

  private async runCaller(
    gateway: GatewayProcess,
    linkDelayMs: number,
    random: Random,
  ): Promise<void> {
    const { signal } = this.stopping;
    const open = () => new PipelinedConnection(gateway.ports.callers, linkDelayMs);
    let connection = open();
    while (!signal.aborted) {
      if (!connection.isUsable) {
        connection.close();
        connection = open();
      }
      await this.sendSeries(gateway, connection, random);
      const restMs = drawBetween(random, MIN_REST_MS, MAX_REST_MS);
      await pause(restMs, undefined, { signal }).catch(() => undefined);
    }
    connection.close();
  }

  /** Sends requests without waiting for answers while the connection takes them; resolves when all have ended. */
  private async sendSeries(
    gateway: GatewayProcess,
    connection: PipelinedConnection,
    random: Random,
  ): Promise<void> {
    const sent: Promise<void>[] = [];
    const count = drawBetween(random, MIN_REQUESTS, MAX_REQUESTS);
    while (sent.length < count && connection.isUsable) {
      sent.push(this.sendOne(gateway, connection, random));
      if (random.nextBelow(2) === 0) {
        await pause(random.nextBelow(MAX_GAP_MS));
      }
    }
    if (random.nextBelow(ABANDONED_ONE_IN) === 0) {
      await pause(random.nextBelow(MAX_WAIT_MS));
      connection.leave();
    }
    await Promise.all(sent);
  }

  private sendOne(
    gateway: GatewayProcess,
    connection: PipelinedConnection,
    random: Random,
  ): Promise<void> {
    const prefix = SENT_PREFIXES[random.nextBelow(SENT_PREFIXES.length)] ?? PREFIXES.long;
    const workMs = drawBetween(random, ...workRangeOf(prefix));
    const send = connection.send.bind(connection);
    return this.callers.sendWith(send, gateway, prefix, workMs, TIME_BUDGET_MS);
  }
}
