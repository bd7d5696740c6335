/** Callers that run throughout a run; each sends one request at a time to one gateway. */
import { Agent } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import type { Random } from '../../src/core/random.js';
import { HOST } from '../../test/platform/operator-spec.js';
import { type Observations, UNKNOWN_INCARNATION } from '../model/observations.js';
import type { PoisonRequest } from '../model/plan.js';
import { streamOf } from '../model/random-streams.js';
import { digestOf } from './answer-body.js';
import { type CallerQuery, type SendQuery, sendQuery } from './caller-connection.js';
import type { GatewayProcess } from './gateway-process.js';
import type { Operator } from './operator.js';
import { poisonPathOf, pathOf } from './paths.js';
import { isReady } from './readiness.js';
import { drawRequest, MIN_WORK_MS, type RequestDraft } from './request-draft.js';
import { markerPrefix, PREFIXES } from './routes.js';

/** Minimum and maximum pause of a caller between two requests, in milliseconds. */
const MIN_PAUSE_MS = 40;
const MAX_PAUSE_MS = 220;

/** Number of callers of each gateway that send requests in quick succession. */
const FREQUENT_CALLERS = 10;

/** Pause of a caller after it failed to connect, in milliseconds. */
const UNREACHABLE_PAUSE_MS = 100;

/** Interval between requests for recently added or removed routes, in milliseconds. */
const MARKER_INTERVAL_MS = 120;

/** Interval of readiness checks, in milliseconds; the platform checks every second. */
const READINESS_INTERVAL_MS = 500;

/** Time budget of each request, in milliseconds. */
const TIME_BUDGET_MS = 2_000;

/** Prefixes of requests that may run at most once, and are sent with POST. */
const ONCE_PREFIXES: ReadonlySet<string> = new Set([PREFIXES.once, PREFIXES.longOnce]);

/** How a caller identifies itself. */
export interface CallerIdentity {
  readonly apiKey?: string;
  /** Value of a tenant header that the caller sets itself. */
  readonly tenantHeader?: string;
}

interface PathDraft {
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly leavesAfterMs?: number | undefined;
  /** Absent for the usual time budget, in milliseconds. */
  readonly budgetMs?: number;
  /** Absent for the usual identity. */
  readonly identity?: CallerIdentity;
}

/** Number of attempts of one caller for a poison request. */
const POISON_ATTEMPTS = 2;

/** Context shared by all callers. */
export interface CallerContext {
  readonly seed: number;
  readonly observations: Observations;
  readonly operator: Operator;
  /** Usual identity of the callers. */
  readonly identity: CallerIdentity;
}

/** All callers, along with the readiness checks. */
export class Callers {
  private running = true;
  private sent = 0;
  private readonly ended: Promise<void>[] = [];

  constructor(private readonly context: CallerContext) {}

  /** Starts `count` callers of a gateway; every second one keeps its connection open. */
  startCallers(gateway: GatewayProcess, count: number): void {
    for (let index = 0; index < count; index += 1) {
      const random = streamOf(this.context.seed, 'callers', gateway.number * count + index);
      this.ended.push(this.runCaller(gateway, random, index % 2 === 0));
    }
    this.ended.push(this.pollMarkerRoutes(gateway), this.pollReadiness(gateway));
  }

  /** Starts callers that send repeatable requests in quick succession, over kept connections. */
  startFrequentCallers(gateway: GatewayProcess): void {
    for (let index = 0; index < FREQUENT_CALLERS; index += 1) {
      this.ended.push(this.runFrequentCaller(gateway));
    }
  }

  /** Starts callers of a poison request, which send it twice in a row, each time to a random gateway. */
  startPoisonCallers(
    gateways: readonly GatewayProcess[],
    { prefix, intervalMs, leavesAfterMs }: PoisonRequest,
    number: number,
  ): void {
    const random = streamOf(this.context.seed, 'lethal', 1 + number);
    const drawGateway = (): GatewayProcess | undefined =>
      gateways[random.nextBelow(gateways.length)];
    const path = poisonPathOf(prefix, number);
    const sendAttempts = async (): Promise<void> => {
      for (let attempts = 0; attempts < POISON_ATTEMPTS; attempts += 1) {
        const gateway = drawGateway();
        if (gateway !== undefined) {
          await this.sendPath(gateway, { method: 'GET', path, body: '', leavesAfterMs });
        }
      }
    };
    const runPoisonCaller = async (): Promise<void> => {
      while (this.running) {
        await sendAttempts();
        await pause(intervalMs / 2 + random.nextBelow(intervalMs));
      }
    };
    this.ended.push(runPoisonCaller());
  }

  /** Sends one request on a new connection with the identity given. */
  async sendAs(
    gateway: GatewayProcess,
    identity: CallerIdentity,
    prefix: string,
    workMs: number,
  ): Promise<void> {
    const path = pathOf(prefix, workMs, this.nextId);
    const method = ONCE_PREFIXES.has(prefix) ? 'POST' : 'GET';
    await this.sendPath(gateway, { method, path, body: '', identity });
  }

  /** Sends one request over the connection of `agent`, which is kept. */
  sendOver(
    agent: Agent,
    gateway: GatewayProcess,
    prefix: string,
    workMs: number,
    budgetMs: number,
  ): Promise<void> {
    const send: SendQuery = (host, query) => sendQuery(host, { ...query, agent });
    return this.sendWith(send, gateway, prefix, workMs, budgetMs);
  }

  /** Sends one request through `send`. */
  async sendWith(
    send: SendQuery,
    gateway: GatewayProcess,
    prefix: string,
    workMs: number,
    budgetMs: number,
  ): Promise<void> {
    const path = pathOf(prefix, workMs, this.nextId);
    const method = ONCE_PREFIXES.has(prefix) ? 'POST' : 'GET';
    await this.sendPath(gateway, { method, path, body: '', budgetMs }, send);
  }

  /** Stops all callers; resolves when the requests in progress have ended. */
  async stop(): Promise<void> {
    this.running = false;
    await Promise.all(this.ended);
  }

  private async runCaller(
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

  private async runFrequentCaller(gateway: GatewayProcess): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const draft = { method: 'GET', prefix: PREFIXES.moving, workMs: MIN_WORK_MS, body: '' };
    while (this.running) {
      const outcome = await this.send(gateway, draft, agent);
      await pause(outcome === 'unreachable' ? UNREACHABLE_PAUSE_MS : MIN_PAUSE_MS);
    }
    agent.destroy();
  }

  /** Requests in turn the marker routes added last, removed last, and still in force from before. */
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
    const sendOnAgent: SendQuery = (host, query) =>
      sendQuery(host, { ...query, ...(agent !== undefined && { agent }) });
    return this.sendPath(gateway, { method, path, body, leavesAfterMs }, sendOnAgent);
  }

  private get nextId(): string {
    return `r${this.context.seed}-${this.sent + 1}`;
  }

  private async sendPath(
    gateway: GatewayProcess,
    {
      method,
      path,
      body,
      leavesAfterMs,
      budgetMs = TIME_BUDGET_MS,
      identity = this.context.identity,
    }: PathDraft,
    send: SendQuery = sendQuery,
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
      budgetMs,
      ...identity,
      ...(leavesAfterMs !== undefined && { leavesAfterMs }),
    };
    const result = await send(HOST, query);
    const bodyDigest = digestOf(Buffer.from(body));
    // If the process was replaced meanwhile, it is not known which of the two received the request.
    const knownIncarnation =
      gateway.incarnation === incarnation ? incarnation : UNKNOWN_INCARNATION;
    const request = {
      id,
      gateway: gateway.number,
      incarnation: knownIncarnation,
      method,
      path,
      ...(identity.apiKey !== undefined && { apiKey: identity.apiKey }),
      bodyDigest,
    };
    this.context.observations.requests.push({ ...request, ...result });
    return result.outcome.type;
  }
}
