/** One TCP connection between two gateways: frames of a length and a message. */
import type { Socket } from 'node:net';
import type { MonotonicClock } from '../../../runtime/monotonic-clock.js';
import { encodeFrame } from '../../../protocol/codec/frame.js';
import { FrameReader } from '../../../protocol/codec/frame-reader.js';
import { decodePeerMessage, encodePeerMessage } from './peer-codec.js';
import type { PeerMessage } from './peer-message.js';

/** Longest message, in bytes. */
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Most bytes that wait to be written; a peer that reads slower loses the connection. */
const MAX_WAITING_BYTES = 8 * 1024 * 1024;

/** The bytes of a message as they go over a connection. */
export const frameOf = (message: PeerMessage): Buffer => encodeFrame(encodePeerMessage(message));

/** What a connection tells its owner. */
export interface PeerConnectionListener {
  onMessage(message: PeerMessage): void;
  /** Called once. */
  onClosed(): void;
}

/** A connection that is open or opening. */
export class PeerConnection {
  /** When bytes last came and went, in milliseconds on the process's clock. */
  heardAt: number;
  sentAt: number;
  private closed = false;
  private readonly reader = new FrameReader(MAX_MESSAGE_BYTES);

  constructor(
    private readonly socket: Socket,
    private readonly clock: MonotonicClock,
    private readonly listener: PeerConnectionListener,
  ) {
    this.heardAt = clock.now();
    this.sentAt = this.heardAt;
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.read(chunk));
    socket.on('error', () => this.close());
    socket.on('end', () => this.close());
    socket.on('close', () => this.close());
  }

  /** Sends a message; what is sent before the connection opens waits. */
  send(message: PeerMessage): void {
    this.sendFrame(frameOf(message));
  }

  /** Sends a message that was encoded before, for several connections. */
  sendFrame(frame: Buffer): void {
    if (this.closed) {
      return;
    }
    this.sentAt = this.clock.now();
    this.socket.write(frame);
    if (this.socket.writableLength > MAX_WAITING_BYTES) {
      this.close();
    }
  }

  /** Closes the connection at once. */
  close(): void {
    if (!this.closed) {
      this.closed = true;
      this.socket.destroy();
      this.listener.onClosed();
    }
  }

  private read(chunk: Buffer): void {
    this.heardAt = this.clock.now();
    const reading = this.reader.read(chunk);
    if (reading.type === 'oversized') {
      this.close();
      return;
    }
    reading.bodies.forEach((body) => this.take(body));
  }

  private take(body: Buffer): void {
    if (!this.closed) {
      decodePeerMessage(body).caseOf({
        Left: () => this.close(),
        Right: (message) => this.listener.onMessage(message),
      });
    }
  }
}
