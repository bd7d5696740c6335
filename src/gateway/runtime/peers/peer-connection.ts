/** One TCP connection between two gateways; messages are framed with their length. */
import type { Socket } from 'node:net';
import type { MonotonicClock } from '../../../runtime/monotonic-clock.js';
import { encodeFrame } from '../../../protocol/codec/frame.js';
import { FrameReader } from '../../../protocol/codec/frame-reader.js';
import { decodePeerMessage, encodePeerMessage } from './peer-codec.js';
import type { PeerMessage } from './peer-message.js';

/** Maximum size of a message, in bytes. */
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Maximum number of bytes that wait to be written; the connection to a peer that reads more slowly is closed. */
const MAX_PENDING_BYTES = 8 * 1024 * 1024;

/** Returns a message as a frame. */
export const frameOf = (message: PeerMessage): Buffer => encodeFrame(encodePeerMessage(message));

/** Receives the events of a connection. */
export interface PeerConnectionListener {
  onMessage(message: PeerMessage): void;
  /** Called once. */
  onClosed(): void;
}

/** A connection that is open or opening. */
export class PeerConnection {
  /** When bytes were last received and sent, in milliseconds on the process's clock. */
  receivedAt: number;
  sentAt: number;
  private closed = false;
  private readonly reader = new FrameReader(MAX_MESSAGE_BYTES);

  constructor(
    private readonly socket: Socket,
    private readonly clock: MonotonicClock,
    private readonly listener: PeerConnectionListener,
  ) {
    this.receivedAt = clock.now();
    this.sentAt = this.receivedAt;
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.read(chunk));
    socket.on('error', () => this.close());
    socket.on('end', () => this.close());
    socket.on('close', () => this.close());
  }

  /** Sends a message; it is queued until the connection has opened. */
  send(message: PeerMessage): void {
    this.sendFrame(frameOf(message));
  }

  /** Sends a message that was encoded once for several connections. */
  sendFrame(frame: Buffer): void {
    if (this.closed) {
      return;
    }
    this.sentAt = this.clock.now();
    this.socket.write(frame);
    if (this.socket.writableLength > MAX_PENDING_BYTES) {
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
    this.receivedAt = this.clock.now();
    const reading = this.reader.read(chunk);
    if (reading.type === 'oversized') {
      this.close();
      return;
    }
    reading.bodies.forEach((body) => this.handleFrame(body));
  }

  private handleFrame(body: Buffer): void {
    if (!this.closed) {
      decodePeerMessage(body).caseOf({
        Left: () => this.close(),
        Right: (message) => this.listener.onMessage(message),
      });
    }
  }
}
