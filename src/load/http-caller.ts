/** Sends calls to nodes over HTTP, as a partner's caller does. */
import { Pool } from 'undici';
import { buildPayload } from './arrivals.js';
import type { Call, CallAnswer, CallOutcome, EndedCall } from './call-outcome.js';

/** Maximum number of connections to each node. */
const CONNECTIONS_PER_NODE = 64;
/** Added to the row's deadline to get the timeout of a call, in milliseconds. */
const TIMEOUT_MARGIN_MS = 5_000;

/** Options of a caller. */
export interface HttpCallerOptions {
  /** Returns the base URLs of the caller ports of the current nodes; calls go to them in turn. */
  readonly nodes: () => readonly string[];
  /** Secret of the caller's key. */
  readonly secret: string;
}

interface ProblemBody {
  readonly outcome?: string;
  readonly reason?: string;
  readonly request?: string;
  readonly title?: string;
}

const outcomeOfProblem = (status: number, body: ProblemBody): CallOutcome => {
  const request = body.request === undefined ? {} : { request: body.request };
  const reason = body.reason ?? `status ${status}`;
  switch (body.outcome) {
    case 'not-run':
      return { type: 'not-run', reason, ...request };
    case 'unknown':
      return { type: 'unknown', reason, ...request };
    default:
      return { type: 'failed', problem: `status ${status} without an outcome` };
  }
};

const describeError = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : String(error);

/** Reasons of a node that accepts no work at all. */
const OUT_OF_SERVICE_REASONS: ReadonlySet<string> = new Set(['stopping', 'not-ready']);

/** Whether the node accepted no work, so that the call cannot have run and another node may be called. */
const isNodeOutOfService = (outcome: CallOutcome): boolean =>
  (outcome.type === 'failed' && outcome.problem === 'ECONNREFUSED') ||
  (outcome.type === 'not-run' && OUT_OF_SERVICE_REASONS.has(outcome.reason));

/** Sends the calls of one partner; moves on to the next node when one is stopping or down. */
export class HttpCaller {
  private readonly pools = new Map<string, Pool>();
  private sent = 0;

  constructor(private readonly options: HttpCallerOptions) {}

  /**
   * Sends `call` to the next node, and to further ones while nodes are out of service.
   *
   * @param dueAt when the call was due, in milliseconds of `performance.now()`; latency counts from here
   */
  async send(call: Call, dueAt: number): Promise<EndedCall> {
    let outcome = await this.callNextNode(call);
    for (
      let attempts = 1;
      attempts < this.options.nodes().length && isNodeOutOfService(outcome);
      attempts += 1
    ) {
      outcome = await this.callNextNode(call);
    }
    return { call, outcome, latencyMs: performance.now() - dueAt };
  }

  /** Closes all connections immediately; calls in progress fail. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
  }

  private callNextNode(call: Call): Promise<CallOutcome> {
    return this.request(call).catch((error: unknown): CallOutcome => ({
      type: 'failed',
      problem: describeError(error),
    }));
  }

  private nextPool(): Pool {
    const nodes = this.options.nodes();
    const node = nodes[this.sent % nodes.length];
    this.sent += 1;
    if (node === undefined) {
      throw new Error('no node to call');
    }
    const pool =
      this.pools.get(node) ?? new Pool(node, { connections: CONNECTIONS_PER_NODE, pipelining: 1 });
    this.pools.set(node, pool);
    return pool;
  }

  private async request(call: Call): Promise<CallOutcome> {
    const { row } = call.item;
    const timeoutMs = row.deadlineMs + TIMEOUT_MARGIN_MS;
    const { statusCode, body } = await this.nextPool().request({
      method: 'POST',
      path: `/v1/${row.partner}/${row.route}`,
      headers: {
        authorization: `Bearer ${this.options.secret}`,
        'content-type': 'application/json',
        'x-crossroad-kind': row.kind,
        ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }),
      },
      body: JSON.stringify({
        ...(call.key === undefined ? {} : { key: call.key }),
        payload: buildPayload(call),
      }),
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    const parsed: unknown = await body.json();
    return statusCode === 200
      ? { ...(parsed as Omit<CallAnswer, 'type'>), type: 'answered' }
      : outcomeOfProblem(statusCode, parsed as ProblemBody);
  }
}
