/** Callers that work all through a run: each sends one request after the other to one gateway. */
import { Agent } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import type { Random } from '../../src/core/random.js';
import { HOST } from '../../test/platform/operator-spec.js';
import { type Observations, UNKNOWN_INCARNATION } from '../model/observations.js';
import { type PoisonRequest, streamOf } from '../model/plan.js';
import { digestOf } from './answer-body.js';
import { type CallerQuery, sendQuery } from './caller-connection.js';
import type { GatewayProcess } from './gateway-process.js';
import type { Operator } from './operator.js';
import { poisonPathOf, pathOf } from './paths.js';
import { isReady } from './readiness.js';
import { markerPrefix, PREFIXES } from './routes.js';

/** Shortest and longest pause of a caller between two requests, in milliseconds. */
const MIN_PAUSE_MS = 40;
const MAX_PAUSE_MS = 220;

/** Pause of a caller that found no open port, in milliseconds. */
const UNREACHABLE_PAUSE_MS = 100;

/** Pause between two questions for a route that was added or removed lately, in milliseconds. */
const MARKER_INTERVAL_MS = 120;

/** Pause between two questions for readiness, in milliseconds; the platform asks each second. */
const READINESS_INTERVAL_MS = 500;

/** Time that callers give, in milliseconds. */
const TIME_BUDGET_MS = 2_000;

/** One of so many callers' requests is given up by its caller. */
const ABANDONED_ONE_IN = 12;

/** Work of usual requests, and of those that their callers give up, in milliseconds. */
const MIN_WORK_MS = 1;
const MAX_WORK_MS = 40;
const ABANDONED_WORK_MS = 1_400;

/** Longest time that a leaving caller waits, in milliseconds. */
const MAX_WAIT_MS = 400;

const MAX_BODY_LETTERS = 2_000;

interface RequestDraft {
  readonly method: string;
  readonly prefix: string;
  readonly workMs: number;
  readonly body: string;
  readonly leavesAfterMs?: number;
}

const drawWork = (random: Random): number =>
  MIN_WORK_MS + random.nextBelow(MAX_WORK_MS - MIN_WORK_MS);

const drawBody = (random: Random): string =>
  'b'.repeat(1 + random.nextBelow(MAX_BODY_LETTERS)) + String(random.nextBelow(1_000));

interface PathDraft {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly leavesAfterMs?: number | undefined;
}

/** Tries of a lethal request by one caller. */
const POISON_ATTEMPTS = 2;

/** Draws what a caller asks for next. */
const drawRequest = (random: Random): RequestDraft => {
  const workMs = drawWork(random);
  const kind = random.nextBelow(10);
  if (random.nextBelow(ABANDONED_ONE_IN) === 0) {
    const prefix = kind < 5 ? PREFIXES.gather : PREFIXES.moving;
    const leavesAfterMs = 20 + random.nextBelow(MAX_WAIT_MS);
    return { method: 'GET', prefix, workMs: ABANDONED_WORK_MS, body: '', leavesAfterMs };
  }
  if (kind < 3) {
    return { method: 'GET', prefix: PREFIXES.gather, workMs, body: '' };
  }
  if (kind < 6) {
    return { method: 'POST', prefix: PREFIXES.once, workMs, body: drawBody(random) };
  }
  const prefix = kind < 8 ? PREFIXES.moving : PREFIXES.split;
  return { method: 'GET', prefix, workMs, body: '' };
};

/** What callers work with. */
export interface CallerContext {
  readonly seed: number;
  readonly observations: Observations;
  readonly operator: Operator;
}

/** All callers, and those who ask for readiness. */
export class Callers {
  private running = true;
  private sent = 0;
  private readonly ended: Promise<void>[] = [];

  constructor(private readonly context: CallerContext) {}

  /** Lets `count` callers work over a gateway: every second one keeps its connection. */
  startCallers(gateway: GatewayProcess, count: number): void {
    for (let index = 0; index < count; index += 1) {
      const random = streamOf(this.context.seed, 'callers', gateway.number * count + index);
      this.ended.push(this.work(gateway, random, index % 2 === 0));
    }
    this.ended.push(this.pollMarkerRoutes(gateway), this.pollReadiness(gateway));
  }

  /** Lets callers ask for a lethal request, at any gateway; one that is not served is asked for once more. */
  startPoisonCallers(
    gateways: readonly GatewayProcess[],
    { prefix, intervalMs, leavesAfterMs }: PoisonRequest,
    number: number,
  ): void {
    const random = streamOf(this.context.seed, 'lethal', 1 + number);
    const drawGateway = (): GatewayProcess | undefined =>
      gateways[random.nextBelow(gateways.length)];
    const path = poisonPathOf(prefix, number);
    const ask = async (): Promise<void> => {
      for (let attempts = 0; attempts < POISON_ATTEMPTS; attempts += 1) {
        const gateway = drawGateway();
        if (gateway !== undefined) {
          await this.sendPath(gateway, { method: 'GET', path, body: '', leavesAfterMs });
        }
      }
    };
    const runCaller = async (): Promise<void> => {
      while (this.running) {
        await ask();
        await pause(intervalMs / 2 + random.nextBelow(intervalMs));
      }
    };
    this.ended.push(runCaller());
  }

  /** Ends after the requests that are under way. */
  async stop(): Promise<void> {
    this.running = false;
    await Promise.all(this.ended);
  }

  private async work(
    gateway: GatewayProcess,
    random: Random,
    keepsConnection: boolean,
  ): Promise<void> {
    const agent = keepsConnection ? new Agent({ keepAlive: true, maxSockets: 1 }) : undefined;
    while (this.running) {
      const pauseMs = MIN_PAUSE_MS + random.nextBelow(MAX_PAUSE_MS - MIN_PAUSE_MS);
      const outcome = await this.send(gateway, drawRequest(random), agent);
      await pause(outcome === 'unreachable' ? UNREACHABLE_PAUSE_MS : pauseMs);
    }
    agent?.destroy();
  }

  /** Asks by turns for the route added last and for the one removed last. */
  private async pollMarkerRoutes(gateway: GatewayProcess): Promise<void> {
    const offsets = [0, -2, -1] as const;
    for (let index = 0; this.running; index += 1) {
      const number = this.context.operator.newest + (offsets[index % offsets.length] ?? 0);
      if (number >= 0) {
        const prefix = markerPrefix(number);
        await this.send(gateway, { method: 'GET', prefix, workMs: MIN_WORK_MS, body: '' });
      }
      await pause(MARKER_INTERVAL_MS);
    }
  }

  private async pollReadiness(gateway: GatewayProcess): Promise<void> {
    while (this.running) {
      const ready = await isReady(gateway.ports.readiness);
      const { readiness } = this.context.observations;
      readiness.push({ gateway: gateway.number, at: performance.now(), ready });
      await pause(READINESS_INTERVAL_MS);
    }
  }

  private send(gateway: GatewayProcess, draft: RequestDraft, agent?: Agent): Promise<string> {
    const { method, prefix, workMs, body, leavesAfterMs } = draft;
    const path = pathOf(prefix, workMs, this.nextId);
    return this.sendPath(gateway, { method, path, body, leavesAfterMs }, agent);
  }

  private get nextId(): string {
    return `r${this.context.seed}-${this.sent + 1}`;
  }

  private async sendPath(
    gateway: GatewayProcess,
    { method, path, body, leavesAfterMs }: PathDraft,
    agent?: Agent,
  ): Promise<string> {
    const id = this.nextId;
    this.sent += 1;
    const { incarnation } = gateway;
    const query: CallerQuery = {
      id,
      port: gateway.ports.callers,
      method,
      path,
      body,
      budgetMs: TIME_BUDGET_MS,
      ...(leavesAfterMs !== undefined && { leavesAfterMs }),
      ...(agent !== undefined && { agent }),
    };
    const result = await sendQuery(HOST, query);
    const bodyDigest = digestOf(Buffer.from(body));
    // A process that was replaced meanwhile: it is not known which of the two was asked.
    const knownIncarnation =
      gateway.incarnation === incarnation ? incarnation : UNKNOWN_INCARNATION;
    const asked = {
      id,
      gateway: gateway.number,
      incarnation: knownIncarnation,
      method,
      path,
      bodyDigest,
    };
    this.context.observations.requests.push({ ...asked, ...result });
    return result.outcome.type;
  }
}
