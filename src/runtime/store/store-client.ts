/** Client of the platform's object API, which carries out effects of the core. */
import { Pool } from 'undici';
import { type Either, Left, type Maybe, Right } from 'purify-ts';
import type { StoreObject } from '../../catalog/store-object.js';
import type { ReadObject, WriteObject } from '../../core/effect.js';
import type { ObjectName, StoreRequestId } from '../../core/identifiers.js';
import type { EventSink } from '../core-loop.js';
import type { MonotonicClock } from '../monotonic-clock.js';
import type { LogWriter } from '../node-log.js';
import { readLimitedText } from './read-answer-body.js';
import {
  readMachines,
  readObject,
  readCurrentVersion,
  readWritten,
  type StoreChanges,
} from './store-answers.js';
import { StoreWatch } from './store-watch.js';

/** Number of connections for requests other than the watch. */
const STORE_CONNECTIONS = 4;

/** Timeout of requests to the store, in milliseconds. */
const STORE_TIMEOUT_MS = 5_000;

/** Dependencies of the store client. */
export interface StoreClientContext {
  /** Base URL of the object API. */
  readonly platform: string;
  readonly sink: EventSink;
  readonly clock: MonotonicClock;
  readonly log: LogWriter;
}

interface StoreAnswer {
  readonly status: number;
  readonly text: string;
}

interface StoreCall {
  readonly path: string;
  readonly method: 'GET' | 'PUT';
  readonly body?: string;
}

const describeError = (error: unknown): string =>
  error instanceof Error ? error.message || error.name : String(error);

const objectPath = (name: string): string => `/v1/objects/${encodeURIComponent(name)}`;

/** Carries out the effects that concern the store. */
export class StoreClient {
  private readonly pool: Pool;
  private readonly watch: StoreWatch;
  private destroyed = false;

  constructor(private readonly context: StoreClientContext) {
    const { origin } = new URL(context.platform);
    this.pool = new Pool(origin, {
      connections: STORE_CONNECTIONS,
      headersTimeout: STORE_TIMEOUT_MS,
      bodyTimeout: STORE_TIMEOUT_MS,
      connect: { timeout: STORE_TIMEOUT_MS },
    });
    this.watch = new StoreWatch(origin, {
      onChanges: (changes) => this.handleChanges(changes),
      onFailure: (problem) => this.reportStoreFailure('watch', problem),
    });
  }

  watchStore(after: number): void {
    this.watch.start(after);
  }

  unwatchStore(): void {
    this.watch.stop();
  }

  readMachines(): void {
    void this.call({ path: '/v1/machines', method: 'GET' }).then((called) => {
      const machines = called.chain(({ status, text }) =>
        status === 200 ? readMachines(text) : Left(`status ${status}`),
      );
      machines.caseOf({
        Left: (problem) =>
          this.reportStoreFailure('machines', `The machine list was not read: ${problem}`),
        Right: (list) =>
          this.emit({ type: 'machines-read', at: this.context.clock.now(), machines: list }),
      });
    });
  }

  readObject({ request, name }: ReadObject): void {
    void this.call({ path: objectPath(name), method: 'GET' }).then((called) =>
      called.caseOf({
        Left: (problem) => this.reportRequestFailure(request, problem),
        Right: (answer) => this.handleReadAnswer(request, answer),
      }),
    );
  }

  /** Reads an object outside the core; Nothing if it does not exist or the request fails. */
  async fetchObject(name: ObjectName): Promise<Maybe<StoreObject>> {
    const called = await this.call({ path: objectPath(name), method: 'GET' });
    return called
      .toMaybe()
      .filter(({ status }) => status === 200)
      .chain(({ text }) => readObject(text).toMaybe());
  }

  writeObject(effect: WriteObject): void {
    const { request, name, expectedVersion, content } = effect;
    const body = JSON.stringify({ expectedVersion, content });
    void this.call({ path: objectPath(name), method: 'PUT', body }).then((called) =>
      called.caseOf({
        Left: (problem) => this.reportRequestFailure(request, problem),
        Right: (answer) => this.handleWriteAnswer(request, answer),
      }),
    );
  }

  /** Closes all connections at once. */
  destroy(): void {
    this.destroyed = true;
    this.watch.destroy();
    void this.pool.destroy().catch(() => undefined);
  }

  private async call(call: StoreCall): Promise<Either<string, StoreAnswer>> {
    try {
      const response = await this.pool.request({
        path: call.path,
        method: call.method,
        headers: { 'content-type': 'application/json' },
        signal: AbortSignal.timeout(STORE_TIMEOUT_MS),
        ...(call.body === undefined ? {} : { body: call.body }),
      });
      const text = await readLimitedText(response.body);
      return Right({ status: response.statusCode, text });
    } catch (error) {
      return Left(describeError(error));
    }
  }

  private handleReadAnswer(request: StoreRequestId, { status, text }: StoreAnswer): void {
    const at = this.context.clock.now();
    if (status === 404) {
      this.emit({ type: 'object-read', at, request });
      return;
    }
    const read = status === 200 ? readObject(text) : Left(`status ${status}`);
    read.caseOf({
      Left: (problem) => this.reportRequestFailure(request, problem),
      Right: (object) => this.emit({ type: 'object-read', at, request, object }),
    });
  }

  private handleWriteAnswer(request: StoreRequestId, { status, text }: StoreAnswer): void {
    const at = this.context.clock.now();
    if (status === 409) {
      readCurrentVersion(text).caseOf({
        Left: (problem) => this.reportRequestFailure(request, problem),
        Right: (version) => this.emit({ type: 'object-write-refused', at, request, version }),
      });
      return;
    }
    const written = status === 200 ? readWritten(text) : Left(`status ${status}`);
    written.caseOf({
      Left: (problem) => this.reportRequestFailure(request, problem),
      Right: (place) => this.emit({ type: 'object-written', at, request, ...place }),
    });
  }

  private handleChanges(changes: StoreChanges): void {
    const { after, through, objects } = changes;
    changes.problems.forEach((problem) => this.context.log('warn', 'store', problem));
    const at = this.context.clock.now();
    this.emit({ type: 'store-changed', at, after, through, objects });
  }

  private reportRequestFailure(request: StoreRequestId, problem: string): void {
    const at = this.context.clock.now();
    this.emit({ type: 'object-request-failed', at, request, problem });
  }

  private reportStoreFailure(request: 'watch' | 'machines', problem: string): void {
    this.context.log('warn', 'store', `${problem}.`);
    this.emit({ type: 'store-failed', at: this.context.clock.now(), request, problem });
  }

  private emit(event: Parameters<EventSink['emit']>[0]): void {
    if (!this.destroyed) {
      this.context.sink.emit(event);
    }
  }
}
