/** A proxy on loopback in front of one port that can refuse, silence or delay connections. */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { setTimeout as pause } from 'node:timers/promises';
import type { LinkFailure } from '../model/schedule.js';

const HOST = '127.0.0.1';

/** Delay of bytes on a link that delays, in milliseconds. */
const DELAY_MS = 300;

/** Forwards connections to one port. */
export class LoopbackLink {
  private failure: LinkFailure | undefined;
  /** Deliver the bytes held back during a silence. */
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

  /** Port that accepts the connections to forward. */
  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Applies a failure for `forMs` milliseconds, after any previous failure has ended. */
  failFor(failure: LinkFailure, forMs: number): Promise<void> {
    this.busy = this.busy.then(async () => {
      this.setFailure(failure);
      await pause(forMs);
      this.setFailure(undefined);
    });
    return this.busy;
  }

  /** Sets or ends a failure. Bytes held back during a silence are delivered at its end. */
  private setFailure(failure: LinkFailure | undefined): void {
    this.failure = failure;
    if (failure === 'refuse') {
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
    // The `close` handler ends both sides after a reset; the proxy does not need its cause.
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
    // Pausing keeps later chunks behind this one, in order.
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
