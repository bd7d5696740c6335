/**
 * Watches the store. A failure is reported once and is not retried here: the core decides when to start
 * the watch again, as it knows when other nodes have received an answer from the store.
 */
import { Client, type Dispatcher } from 'undici';
import { readLimitedText, readLines } from './read-answer-body.js';
import { readObjectList, readWatchLine, type StoreChanges } from './store-answers.js';

/** Timeout of a watch without data, in milliseconds; the store sends a bookmark every 5 s. */
const WATCH_IDLE_TIMEOUT_MS = 15_000;

/** Timeout for connecting and for the headers of an answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 5_000;

const STATUS_GONE = 410;

/** Receives the changes and the failure of a watch. */
export interface WatchListener {
  onChanges(changes: StoreChanges): void;
  onFailure(problem: string): void;
}

const describeError = (error: unknown): string =>
  error instanceof Error ? error.message || error.name : String(error);

/** Runs at most one watch at a time. */
export class StoreWatch {
  private client: Client;
  private after = 0;
  private generation = 0;
  private running = false;

  constructor(
    private readonly origin: string,
    private readonly listener: WatchListener,
  ) {
    this.client = this.createClient();
  }

  /** Starts a watch for changes after revision `after`; replaces an earlier watch. */
  start(after: number): void {
    this.after = after;
    this.running = true;
    this.generation += 1;
    this.renewClient();
    void this.run(this.generation);
  }

  /** Stops the watch. */
  stop(): void {
    this.running = false;
    this.generation += 1;
    this.renewClient();
  }

  /** Stops the watch and closes the connection for good. */
  destroy(): void {
    this.stop();
    void this.client.destroy().catch(() => undefined);
  }

  private createClient(): Client {
    return new Client(this.origin, {
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: WATCH_IDLE_TIMEOUT_MS,
      connect: { timeout: ANSWER_TIMEOUT_MS },
    });
  }

  private renewClient(): void {
    void this.client.destroy().catch(() => undefined);
    this.client = this.createClient();
  }

  private async run(generation: number): Promise<void> {
    const problem = await this.readUntilFailure(generation);
    if (generation === this.generation && this.running) {
      this.listener.onFailure(problem);
    }
  }

  private async readUntilFailure(generation: number): Promise<string> {
    try {
      if (this.after === 0) {
        await this.readList(generation);
      }
      const response = await this.openWatch();
      if (response.statusCode !== STATUS_GONE) {
        return await this.readWatch(response, generation);
      }
      await response.body.dump();
      await this.readList(generation);
      return await this.readWatch(await this.openWatch(), generation);
    } catch (error) {
      return `The store failed: ${describeError(error)}`;
    }
  }

  private openWatch(): Promise<Dispatcher.ResponseData> {
    return this.client.request({ path: `/v1/watch?after=${this.after}`, method: 'GET' });
  }

  private async readList(generation: number): Promise<void> {
    const { after } = this;
    const response = await this.client.request({
      path: `/v1/objects?after=${after}`,
      method: 'GET',
    });
    const text = await readLimitedText(response.body);
    if (response.statusCode !== 200) {
      throw new Error(`status ${response.statusCode}`);
    }
    const changes = readObjectList(text, after);
    if (changes.isLeft()) {
      throw new Error(String(changes.extract()));
    }
    this.deliver(changes.unsafeCoerce(), generation);
  }

  private async readWatch(response: Dispatcher.ResponseData, generation: number): Promise<string> {
    if (response.statusCode !== 200) {
      await response.body.dump();
      return `The store answered the watch with status ${response.statusCode}`;
    }
    for await (const line of readLines(response.body as AsyncIterable<Buffer>)) {
      const changes = readWatchLine(line);
      if (changes.isLeft()) {
        return `The watch is broken: ${String(changes.extract())}`;
      }
      this.deliver(changes.unsafeCoerce(), generation);
    }
    return 'The watch ended';
  }

  private deliver(changes: StoreChanges, generation: number): void {
    if (generation !== this.generation || !this.running) {
      return;
    }
    this.after = Math.max(this.after, changes.through);
    this.listener.onChanges(changes);
  }
}
