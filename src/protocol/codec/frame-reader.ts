/** Splits the bytes of a connection into frames. */
import { FRAME_HEADER_BYTES } from './frame.js';

/**
 * Result of reading bytes. If `more` is true, the next frame exceeds the current `maxBytes`. The caller
 * must then process the bodies, which may raise `maxBytes`, and call `readBuffered`.
 */
export type FrameReadResult =
  | { readonly type: 'frames'; readonly bodies: readonly Buffer[]; readonly more: boolean }
  | { readonly type: 'oversized'; readonly length: number };

/** Buffers bytes until a frame is complete; holds at most one incomplete frame. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private wanted = FRAME_HEADER_BYTES;

  /** @param maxBytes - maximum length of a body; may be raised later */
  constructor(public maxBytes: number) {}

  /** Adds the next bytes of the connection and returns all complete bodies. */
  read(chunk: Buffer): FrameReadResult {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes < this.wanted) {
      return { type: 'frames', bodies: [], more: false };
    }
    return this.readBuffered();
  }

  /** Reads frames from the bytes that are already buffered; see `more`. */
  readBuffered(): FrameReadResult {
    const [first = Buffer.alloc(0)] = this.chunks;
    return this.extractFrames(
      this.chunks.length <= 1 ? first : Buffer.concat(this.chunks, this.bufferedBytes),
    );
  }

  private extractFrames(bytes: Buffer): FrameReadResult {
    const bodies: Buffer[] = [];
    let start = 0;
    let more = false;
    this.wanted = FRAME_HEADER_BYTES;
    while (bytes.length - start >= FRAME_HEADER_BYTES) {
      const length = bytes.readUInt32BE(start);
      if (length > this.maxBytes && bodies.length === 0) {
        return { type: 'oversized', length };
      }
      if (length > this.maxBytes) {
        more = true;
        break;
      }
      const end = start + FRAME_HEADER_BYTES + length;
      if (end > bytes.length) {
        this.wanted = end - start;
        break;
      }
      bodies.push(bytes.subarray(start + FRAME_HEADER_BYTES, end));
      start = end;
    }
    this.chunks = start === bytes.length ? [] : [bytes.subarray(start)];
    this.bufferedBytes = bytes.length - start;
    return { type: 'frames', bodies, more };
  }
}
