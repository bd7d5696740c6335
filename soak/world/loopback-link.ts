/** A proxy on loopback in front of one port: refuses, silences or delays connections. */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { setTimeout as pause } from 'node:timers/promises';
import type { LinkFailure } from '../model/schedule.js';

const HOST = '127.0.0.1';

/** How late bytes are while a link delays them, in milliseconds. */
const DELAY_MS = 300;

/** Forwards connections to one port. */
export class LoopbackLink {
  private failure: LinkFailure | undefined;
  /** Deliver what a silence has held up. */
  private held: (() => void)[] = [];
  private busy: Promise<void> = Promise.resolve();
  private readonly pairs = new Set<readonly [Socket, Socket]>();

  private constructor(
    private readonly server: Server,
    private readonly target: number,
  ) {
    server.on('connection', (near: Socket) => this.forward(near));
  }

  /** Opens a link to a port on loopback. */
  static async open(target: number): Promise<LoopbackLink> {
    const server = createServer();
    server.listen(0, HOST);
    await once(server, 'listening');
    return new LoopbackLink(server, target);
  }

  /** Where others connect. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Troubles the link for a while; one trouble waits for the one before. */
  failFor(trouble: LinkFailure, forMs: number): Promise<void> {
    this.busy = this.busy.then(async () => {
      this.setFailure(trouble);
      await pause(forMs);
      this.setFailure(undefined);
    });
    return this.busy;
  }

  /** Begins trouble, or ends it. Bytes that a silence has held up are delivered at its end. */
  private setFailure(trouble: LinkFailure | undefined): void {
    this.failure = trouble;
    if (trouble === 'refuse') {
      this.reset();
    }
    const released = this.held;
    this.held = [];
    released.forEach((release) => release());
  }

  async close(): Promise<void> {
    this.reset();
    this.server.close();
    await once(this.server, 'close');
  }

  private reset(): void {
    this.pairs.forEach((pair) => pair.forEach((socket) => socket.resetAndDestroy()));
  }

  private forward(near: Socket): void {
    if (this.failure === 'refuse') {
      near.on('error', () => undefined);
      near.resetAndDestroy();
      return;
    }
    const far = connect(this.target, HOST);
    const pair = [near, far] as const;
    this.pairs.add(pair);
    this.pipe(near, far, pair);
    this.pipe(far, near, pair);
  }

  private pipe(from: Socket, to: Socket, pair: readonly [Socket, Socket]): void {
    from.setNoDelay(true);
    // A reset of one side ends both, by `close`; why it was reset does not matter to a proxy.
    from.on('error', () => undefined);
    from.on('data', (chunk: Buffer) => this.pass(chunk, from, to));
    from.on('end', () => to.end());
    from.on('close', () => {
      to.destroy();
      this.pairs.delete(pair);
    });
  }

  private pass(chunk: Buffer, from: Socket, to: Socket): void {
    if (this.failure === undefined) {
      to.write(chunk);
      return;
    }
    // Later chunks wait behind this one, so that their order stays.
    from.pause();
    const deliver = (): void => {
      to.write(chunk);
      from.resume();
    };
    if (this.failure === 'delay') {
      setTimeout(deliver, DELAY_MS);
    } else {
      this.held.push(deliver);
    }
  }
}
