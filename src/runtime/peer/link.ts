/** A TCP connection to a peer: first the handshake, then frames of messages. */
import type { Socket } from 'node:net';
import type { NodeId } from '../../core/identifiers.js';
import { encodeFrame } from '../../protocol/codec/frame.js';
import { FrameReader, type FrameReadResult } from '../../protocol/codec/frame-reader.js';
import {
  decodeLinkFrame,
  encodeLinkFrame,
  HEARTBEAT_FRAME,
  MAX_FRAME_BYTES,
} from '../../protocol/codec/link-frame.js';
import type { LinkMessage } from '../../protocol/peer-message.js';
import type { MonotonicClock } from '../monotonic-clock.js';
import { type Handshake, MAX_HANDSHAKE_BYTES } from './handshake.js';

/** Maximum length of the send queue, in bytes; the link to a peer that reads too slowly is closed. */
export const MAX_SEND_QUEUE_BYTES = 32 * 1024 * 1024;

/** Receives the events of a link. */
export interface LinkListener {
  onReady(link: Link, peer: NodeId): void;
  onMessages(link: Link, peer: NodeId, messages: readonly LinkMessage[]): void;
  /** Called once; `problem` is undefined if the connection was closed without an error. */
  onClosed(link: Link, problem: string | undefined): void;
}

/** A link, in any state of its connection. */
export class Link {
  /** The peer; undefined until both sides are authenticated. */
  peer: NodeId | undefined;
  /** When bytes were last received, in milliseconds by the node's clock. */
  lastReceivedAt: number;
  /** When a message was last received or sent. */
  lastMessageAt: number;
  /** When a frame was last sent. */
  lastSentAt: number;
  private readonly reader = new FrameReader(MAX_HANDSHAKE_BYTES);
  private closed = false;

  constructor(
    private readonly socket: Socket,
    private readonly handshake: Handshake,
    private readonly clock: MonotonicClock,
    private readonly listener: LinkListener,
  ) {
    this.lastReceivedAt = clock.now();
    this.lastMessageAt = this.lastReceivedAt;
    this.lastSentAt = this.lastReceivedAt;
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => this.read(chunk));
    socket.on('error', (error) => this.close(error.message));
    socket.on('end', () => this.close(undefined));
    socket.on('close', () => this.close('the connection closed'));
  }

  /** Sends a frame of the handshake. */
  sendHandshake(body: Buffer): void {
    this.socket.write(encodeFrame(body));
  }

  /** Sends messages in one frame; closes the link if the frame or the send queue is too long. */
  send(messages: readonly LinkMessage[]): void {
    const frame = encodeLinkFrame(messages);
    this.lastMessageAt = this.clock.now();
    if (frame.length > MAX_FRAME_BYTES) {
      this.close(`a frame of ${frame.length} bytes is too long to send`);
      return;
    }
    this.write(frame);
  }

  /** Sends a heartbeat, which shows the peer that the connection is alive. */
  sendHeartbeat(): void {
    this.write(HEARTBEAT_FRAME);
  }

  /** Closes the link gracefully: data that was sent still arrives. */
  end(): void {
    if (!this.closed) {
      this.closed = true;
      this.socket.end();
      this.socket.resume();
    }
  }

  /** Closes the link at once. */
  close(problem: string | undefined): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    this.socket.destroy();
    this.listener.onClosed(this, problem);
  }

  private write(frame: Buffer): void {
    this.lastSentAt = this.clock.now();
    this.socket.write(frame);
    if (this.socket.writableLength > MAX_SEND_QUEUE_BYTES) {
      this.close(`the send queue holds ${this.socket.writableLength} bytes`);
    }
  }

  private read(chunk: Buffer): void {
    this.lastReceivedAt = this.clock.now();
    this.handleReadResult(this.reader.read(chunk));
  }

  private handleReadResult(reading: FrameReadResult): void {
    if (reading.type === 'oversized') {
      this.close(`the peer announced a frame of ${reading.length} bytes`);
      return;
    }
    for (const body of reading.bodies) {
      if (!this.closed) {
        this.handleBody(body);
      }
    }
    if (reading.more && !this.closed) {
      this.handleReadResult(this.reader.readBuffered());
    }
  }

  private handleBody(body: Buffer): void {
    if (this.peer === undefined) {
      this.handleHandshake(body);
    } else if (body.length > 0) {
      this.handleMessages(body, this.peer);
    }
  }

  private handleHandshake(body: Buffer): void {
    this.handshake.handleFrame(body).caseOf({
      Left: (problem) => this.close(problem),
      Right: (next) => {
        if (next.body !== undefined) {
          this.sendHandshake(next.body);
        }
        if (next.type === 'done') {
          this.peer = next.peer;
          this.reader.maxBytes = MAX_FRAME_BYTES;
          this.listener.onReady(this, next.peer);
        }
      },
    });
  }

  private handleMessages(body: Buffer, peer: NodeId): void {
    this.lastMessageAt = this.clock.now();
    decodeLinkFrame(body).caseOf({
      Left: (problem) => this.close(`a frame ${problem}`),
      Right: (messages) => this.listener.onMessages(this, peer, messages),
    });
  }
}
