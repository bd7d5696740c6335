/** Calls the store, over a separate connection for each purpose, so that a watch does not delay other calls. */
import type { MonotonicClock } from '../../runtime/monotonic-clock.js';
import type { HostPort } from '../../settings/node-settings.js';
import { formatHostPort } from '../../settings/parse-host-port.js';
import { type Finding, formatFinding } from '../../table/finding.js';
import type { StoreCallFailed } from '../event.js';
import type { StoreFormat } from '../protocol/protocol.js';
import type {
  CollectionCall,
  CollectionName,
  ConfirmCall,
  ProbeCall,
  RegisterCall,
  StoreCall,
} from '../store/collection.js';
import { hashKeys, type KeysHash } from '../tenants/keys-hash.js';
import type { GatewayEventSink } from './gateway-loop.js';
import { readText, type TextAnswer } from './read-text.js';
import type { ShownConfiguration } from '../store/store-objects.js';
import type { StoreEra } from '../store/store-position.js';
import { ReceivedBytes } from './received-bytes.js';
import { openConnection } from './sockets.js';
import { Client } from './undici-client.js';

/** Connect timeout, in milliseconds. */
const CONNECT_TIMEOUT_MS = 800;

/** Time for which an idle connection is kept, in milliseconds. */
const KEEP_ALIVE_MS = 10_000;

/** Most findings of a malformed answer that are logged. */
const MAX_SHOWN_FINDINGS = 8;

const OK_STATUS = 200;
const GONE_STATUS = 410;
const THROTTLED_STATUS = 429;

/** Dependencies of the client. */
export interface StoreClientContext {
  readonly address: HostPort;
  readonly format: StoreFormat;
  /** Name of the header with the store's era. */
  readonly eraHeader: string;
  readonly clock: MonotonicClock;
  readonly sink: GatewayEventSink;
}

/** Purpose of a connection. */
type Purpose = CollectionName | 'probe' | 'registration';

const problemOf = (status: number): StoreCallFailed['problem'] => {
  if (status === GONE_STATUS) {
    return 'history-gone';
  }
  return status === THROTTLED_STATUS ? 'throttled' : 'unavailable';
};

/** Valid values of the era header: non-negative integers. */
const ERA_PATTERN = /^\d{1,15}$/;

/** The keys of a configuration as it was written at some time. */
interface DecodedKeys {
  readonly era: StoreEra;
  readonly version: number | undefined;
  readonly writtenAt: number | undefined;
  readonly keysHash: KeysHash | undefined;
}

/** Identifies the keys in the answer to a confirming read; undefined if there are none or the configuration is unreadable. */
const keysShownBy = (format: StoreFormat, body: string): KeysHash | undefined => {
  const call = { type: 'list', collection: 'configuration', stale: false, timeoutMs: 0 } as const;
  const page = format.readPage(call, body).toMaybe().extract();
  if (page?.collection !== 'configuration') {
    return undefined;
  }
  const tenants = page.objects.find(({ value }) => value !== undefined)?.value?.tenants;
  return tenants === undefined ? undefined : hashKeys(tenants);
};

/** Executes `call-store` and `abort-store-call`. */
export class StoreClient {
  private readonly clients = new Map<Purpose, Client>();
  private readonly received = new WeakMap<Client, ReceivedBytes>();
  /** The latest call of each collection; it replaces earlier ones, whose answers are ignored. */
  private readonly newest = new Map<CollectionName, CollectionCall>();
  private closed = false;
  /** The configuration whose keys were decoded last for a confirming read. */
  private decoded: DecodedKeys | undefined;

  constructor(private readonly context: StoreClientContext) {}

  call(call: StoreCall): void {
    switch (call.type) {
      case 'list':
      case 'watch':
        return void this.follow(call);
      case 'probe':
        return void this.probe(call);
      case 'confirm':
        return void this.confirm(call);
      case 'register':
        return void this.register(call);
    }
  }

  /** Aborts the list or watch of a collection. */
  abortCall(collection: CollectionName): void {
    if (this.newest.delete(collection)) {
      this.closeClient(collection);
    }
  }

  destroy(): void {
    this.closed = true;
    this.clients.forEach((client) => void client.destroy().catch(() => undefined));
  }

  private async follow(call: CollectionCall): Promise<void> {
    const { collection } = call;
    if (this.newest.has(collection)) {
      this.closeClient(collection);
    }
    this.newest.set(collection, call);
    try {
      const answer = await this.sendCall(collection, call);
      if (this.finishIfNewest(call)) {
        this.handleCollectionAnswer(call, answer);
      }
    } catch (error) {
      if (this.finishIfNewest(call)) {
        this.emitFailed(call, 'no-answer', String(error));
      }
    }
  }

  /** Returns whether a call that has ended is the latest one of its collection, and removes it in that case. */
  private finishIfNewest(call: CollectionCall): boolean {
    if (this.newest.get(call.collection) !== call || this.closed) {
      return false;
    }
    this.newest.delete(call.collection);
    return true;
  }

  private async probe(call: ProbeCall): Promise<void> {
    const answer = await this.trySendCall('probe', call);
    const answered = answer?.status === OK_STATUS;
    const era = answer && this.eraOf(answer);
    this.emit((at) => ({ type: 'probe-ended', at, answered, era }));
  }

  /** Makes a confirming read. The time at which it is sent counts, so it is taken before the call. */
  private async confirm(call: ConfirmCall): Promise<void> {
    const sentAt = this.context.clock.now();
    const answer = await this.trySendCall('probe', call);
    const answered = answer?.status === OK_STATUS;
    const era = answer && this.eraOf(answer);
    const shown = answered ? this.readConfirmation(answer.body, era) : undefined;
    this.emit((at) => ({
      type: 'confirmation-ended',
      at,
      sentAt,
      answered,
      era,
      ...(shown !== undefined && { shown }),
    }));
  }

  /** Reads what a confirming read shows. The configuration is decoded only if it was written since the last such read. */
  private readConfirmation(body: string, era: StoreEra): ShownConfiguration | undefined {
    const { format } = this.context;
    const shown = format.readConfirmation(body).toMaybe().extract();
    if (shown === undefined) {
      return undefined;
    }
    const { version, writtenAt } = shown;
    const { decoded } = this;
    const isSame =
      writtenAt !== undefined &&
      decoded?.writtenAt === writtenAt &&
      decoded.version === version &&
      decoded.era === era;
    const keysHash = isSame ? decoded.keysHash : keysShownBy(format, body);
    this.decoded = { era, version, writtenAt, keysHash };
    return { ...shown, ...(keysHash !== undefined && { keysHash }) };
  }

  /** Sends a registration. Its answer is ignored: the next list shows whether the entry is in the store. */
  private async register(call: RegisterCall): Promise<void> {
    await this.trySendCall('registration', call);
  }

  private emit(create: (at: number) => Parameters<GatewayEventSink['emit']>[0]): void {
    if (!this.closed) {
      this.context.sink.emit(create(this.context.clock.now()));
    }
  }

  private eraOf({ headers }: TextAnswer): StoreEra {
    const value = headers[this.context.eraHeader];
    return typeof value === 'string' && ERA_PATTERN.test(value) ? Number(value) : undefined;
  }

  private handleCollectionAnswer(call: CollectionCall, answer: TextAnswer): void {
    const { format } = this.context;
    const { status, body } = answer;
    const era = this.eraOf(answer);
    if (status !== OK_STATUS) {
      this.emitFailed(call, problemOf(status), `status ${status}`, era);
      return;
    }
    if (call.type === 'list') {
      format.readPage(call, body).caseOf({
        Left: (findings) => this.emitUnreadable(call, findings, era),
        Right: (page) => this.emit((at) => ({ type: 'page-read', at, era, page })),
      });
      return;
    }
    format.readChanges(call, body).caseOf({
      Left: (findings) => this.emitUnreadable(call, findings, era),
      Right: (changes) => this.emit((at) => ({ type: 'changes-read', at, era, changes })),
    });
  }

  private emitUnreadable(call: CollectionCall, findings: readonly Finding[], era: StoreEra): void {
    const shown = findings.slice(0, MAX_SHOWN_FINDINGS).map(formatFinding);
    this.emitFailed(call, 'malformed', shown.join('; '), era);
  }

  private emitFailed(
    { collection }: CollectionCall,
    problem: StoreCallFailed['problem'],
    detail: string,
    era?: StoreEra,
  ): void {
    this.emit((at) => ({ type: 'store-call-failed', at, collection, problem, detail, era }));
  }

  private async trySendCall(purpose: Purpose, call: StoreCall): Promise<TextAnswer | undefined> {
    try {
      return await this.sendCall(purpose, call);
    } catch {
      return undefined;
    }
  }

  /** Sends a call. If it fails, its connection is closed and the next call opens another one. */
  private async sendCall(purpose: Purpose, call: StoreCall): Promise<TextAnswer> {
    const client = this.clientOf(purpose);
    try {
      const request = this.context.format.formatCall(call);
      return await readText(client, request, call.timeoutMs, () => this.received.get(client));
    } catch (error) {
      if (this.clients.get(purpose) === client) {
        this.closeClient(purpose);
      }
      throw error;
    }
  }

  private clientOf(purpose: Purpose): Client {
    const known = this.clients.get(purpose);
    if (known !== undefined) {
      return known;
    }
    const { address } = this.context;
    const client: Client = new Client(`http://${formatHostPort(address)}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: (_options, callback) => {
        const socket = openConnection(address, CONNECT_TIMEOUT_MS, (error) =>
          error === null ? callback(null, socket) : callback(error, null),
        );
        this.received.set(client, new ReceivedBytes(socket));
      },
    });
    this.clients.set(purpose, client);
    return client;
  }

  private closeClient(purpose: Purpose): void {
    const client = this.clients.get(purpose);
    this.clients.delete(purpose);
    void client?.destroy().catch(() => undefined);
  }
}
