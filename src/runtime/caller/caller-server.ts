/** The caller port: converts HTTP requests to queries, and outcomes to responses. */
import type { HttpBindings } from '@hono/node-server';
import { type Context, Hono } from 'hono';
import { createRefusalLog, type RefusalLog } from '../../auth/refusal-log.js';
import { STARTING_RETRY_AFTER_MS } from '../../core/query/accept-query.js';
import type { AnswerCaller } from '../../core/effect.js';
import { type CallId, identifier, type PartnerId, type RouteName } from '../../core/identifiers.js';
import type { QueryOutcome, QueryRequest } from '../../core/query/query-request.js';
import type { CoreState } from '../../core/state.js';
import type { AnswerRecorder } from '../../metrics/answer-recorder.js';
import type { Finding } from '../../table/finding.js';
import type { EventSink } from '../core-loop.js';
import type { FetchHandler } from '../http-listener.js';
import type { MonotonicClock } from '../monotonic-clock.js';
import type { LogWriter } from '../node-log.js';
import { authenticateCaller, type CallerRefusal } from './authenticate-caller.js';
import { outcomeResponse } from './caller-answer.js';
import { MAX_BODY_BYTES, readCallerRequest } from './caller-request.js';
import { type Problem, problemResponse } from './problem.js';
import { readBody } from './read-body.js';

/** Dependencies of the caller port. */
export interface CallerServerContext {
  readonly state: CoreState;
  readonly sink: EventSink;
  readonly clock: MonotonicClock;
  readonly log: LogWriter;
  readonly answers: AnswerRecorder;
}

interface PendingCall {
  readonly query: QueryRequest;
  readonly arrivedAt: number;
  resolve(outcome: QueryOutcome): void;
}

type CallerContext = Context<{ Bindings: HttpBindings }>;

const TOO_LARGE: Problem = {
  status: 413,
  title: 'Body too large',
  detail: `The body is longer than ${MAX_BODY_BYTES} bytes.`,
  outcome: 'not-run',
  reason: 'body-too-large',
};

const BODY_CUT: Problem = {
  status: 400,
  title: 'Malformed request',
  detail: 'The body ended before it was whole.',
  outcome: 'not-run',
  reason: 'body-cut',
};

const NOT_FOUND: Problem = {
  status: 404,
  title: 'Not found',
  detail: 'The caller port serves POST /v1/{partner}/{route} alone.',
  outcome: 'not-run',
  reason: 'not-found',
};

/** A starting node has read no keys yet and cannot authenticate callers. */
const STARTING: Problem = {
  status: 503,
  title: 'Not ready',
  detail: 'The node has not read the configuration in force yet.',
  outcome: 'not-run',
  reason: 'not-ready',
  retryAfterMs: STARTING_RETRY_AFTER_MS,
};

const FAILED: Problem = {
  status: 500,
  title: 'Failed',
  detail: 'The node failed to handle the request.',
  outcome: 'unknown',
  reason: 'internal-error',
};

const malformed = (findings: readonly Finding[]): Problem => ({
  status: 400,
  title: 'Malformed request',
  detail: 'The request has errors; none of it ran.',
  outcome: 'not-run',
  reason: 'malformed-request',
  findings,
});

/** Handles requests to the caller port and holds the pending calls. */
export class CallerServer {
  readonly fetch: FetchHandler;
  private readonly calls = new Map<CallId, PendingCall>();
  private readonly refusals: RefusalLog;
  private receivedCalls = 0;

  constructor(private readonly context: CallerServerContext) {
    this.refusals = createRefusalLog(
      (sentence) => context.log('warn', 'caller', sentence),
      () => context.clock.now(),
    );
    this.fetch = this.createApp().fetch;
  }

  /** Number of calls without an answer. */
  get pendingCalls(): number {
    return this.calls.size;
  }

  /** Carries out `answer-caller`; ignored if the caller has closed its connection. */
  answer(effect: AnswerCaller): void {
    const call = this.calls.get(effect.call);
    if (call === undefined) {
      return;
    }
    this.calls.delete(effect.call);
    const elapsedMs = this.context.clock.now() - call.arrivedAt;
    this.context.answers.recordAnswer(call.query, effect.outcome, elapsedMs);
    call.resolve(effect.outcome);
  }

  private createApp(): Hono<{ Bindings: HttpBindings }> {
    const app = new Hono<{ Bindings: HttpBindings }>();
    app.post('/v1/:partner/:route', (call) =>
      this.handleRequest(call, call.req.param('partner'), call.req.param('route')),
    );
    app.notFound(() => problemResponse(NOT_FOUND));
    app.onError((error) => {
      this.context.log('error', 'caller', `A request failed: ${error.message}.`);
      return problemResponse(FAILED);
    });
    return app;
  }

  private async handleRequest(
    call: CallerContext,
    partner: string,
    route: string,
  ): Promise<Response> {
    if (this.context.state.phase === 'starting') {
      return problemResponse(STARTING);
    }
    const { keys } = this.context.state.configuration.inForce;
    const partnerId = identifier<PartnerId>(partner);
    const key = authenticateCaller(keys, partnerId, call.req.header('authorization'));
    if (key.isLeft()) {
      return this.refuse(call, key.extract() as CallerRefusal);
    }
    const body = await readBody(call.env.incoming, MAX_BODY_BYTES);
    if (body.type !== 'read') {
      return problemResponse(body.type === 'cut' ? BODY_CUT : TOO_LARGE);
    }
    const query = readCallerRequest({
      partner: partnerId,
      route: identifier<RouteName>(route),
      header: (name) => call.req.header(name),
      body: body.text,
    });
    if (query.isLeft()) {
      return problemResponse(malformed(query.swap().orDefault([])));
    }
    return outcomeResponse(await this.submitQuery(call, query.unsafeCoerce()));
  }

  private refuse(call: CallerContext, refused: CallerRefusal): Response {
    const address = call.env.incoming.socket.remoteAddress;
    this.refusals({
      refusal: refused.refusal,
      ...(address === undefined ? {} : { address }),
      ...(refused.key === undefined ? {} : { key: refused.key }),
    });
    return problemResponse(refused.problem);
  }

  private submitQuery(call: CallerContext, query: QueryRequest): Promise<QueryOutcome> {
    this.receivedCalls += 1;
    const id = identifier<CallId>(`call-${this.receivedCalls}`);
    const arrivedAt = this.context.clock.now();
    return new Promise((resolve) => {
      this.calls.set(id, { query, arrivedAt, resolve });
      call.env.outgoing.once('close', () => this.leave(id));
      this.context.sink.emit({ type: 'query-arrived', at: arrivedAt, call: id, query });
    });
  }

  private leave(id: CallId): void {
    if (this.calls.delete(id)) {
      this.context.sink.emit({ type: 'caller-left', at: this.context.clock.now(), call: id });
    }
  }
}
