/** Sends and receives datagrams, which are authenticated by a tag made with the shared secret. */
import type { Socket } from 'node:dgram';
import type { SendDatagram } from '../../core/effect.js';
import { decodeDatagram, encodeDatagram } from '../../protocol/codec/datagram.js';
import type { EventSink } from '../core-loop.js';
import type { MonotonicClock } from '../monotonic-clock.js';
import type { LogWriter } from '../node-log.js';
import { areEqual, type SharedSecret } from './shared-secret.js';

/** Dependencies of `Datagrams`. */
export interface DatagramsContext {
  readonly socket: Socket;
  readonly secret: SharedSecret;
  readonly sink: EventSink;
  readonly clock: MonotonicClock;
  readonly log: LogWriter;
}

/** Carries out `send-datagram` and emits `datagram-arrived`. */
export class Datagrams {
  private closed = false;

  constructor(private readonly context: DatagramsContext) {
    context.socket.on('message', (bytes) => this.handleDatagram(bytes));
    context.socket.on('error', (error) => this.logProblem(error.message));
  }

  send(effect: SendDatagram): void {
    if (this.closed) {
      return;
    }
    const { socket, secret } = this.context;
    encodeDatagram(effect.message, secret.tagDatagram).caseOf({
      Left: (problem) => this.logProblem(`A datagram was not sent: it ${problem}`),
      Right: (bytes) =>
        socket.send(bytes, effect.to.port, effect.to.host, (error) => {
          if (error !== null) {
            this.logProblem(error.message);
          }
        }),
    });
  }

  close(): void {
    if (!this.closed) {
      this.closed = true;
      this.context.socket.close();
    }
  }

  private handleDatagram(bytes: Buffer): void {
    const { secret, sink, clock } = this.context;
    decodeDatagram(bytes, secret.tagDatagram, areEqual).caseOf({
      Left: (problem) => this.logProblem(`A datagram was discarded: it ${problem}`),
      Right: (message) => sink.emit({ type: 'datagram-arrived', at: clock.now(), message }),
    });
  }

  private logProblem(sentence: string): void {
    this.context.log('debug', 'peer', `${sentence}.`);
  }
}
