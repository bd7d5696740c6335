/**
 * Collects the bytes of a body. Small chunks are copied into common blocks: kept as they are, the objects for many of them would
 * take far more memory than their bytes.
 */

/** Chunks of at least this size are kept as they are, in bytes. */
const MIN_KEPT_CHUNK_BYTES = 4_096;

/** Size of a block for small chunks, in bytes; the first one is smaller. */
const BLOCK_BYTES = 65_536;
const FIRST_BLOCK_BYTES = 1_024;

/** A body that is being received. */
export class BodyBuffer {
  private readonly parts: Buffer[] = [];
  /** The block that is being filled, and the number of its bytes in use. */
  private block: Buffer | undefined;
  private used = 0;
  private length = 0;
  private count = 0;

  /** Number of bytes received. */
  get size(): number {
    return this.length;
  }

  /** Number of chunks received. */
  get chunks(): number {
    return this.count;
  }

  append(chunk: Buffer): void {
    const isOnly = this.length === 0;
    this.count += 1;
    this.length += chunk.length;
    if (isOnly || chunk.length >= MIN_KEPT_CHUNK_BYTES) {
      this.closeBlock();
      this.parts.push(chunk);
    } else {
      this.copy(chunk);
    }
  }

  /** Returns the whole body; without a copy if it arrived in one chunk. */
  toBuffer(): Buffer {
    this.closeBlock();
    const [only] = this.parts;
    return this.parts.length === 1 && only ? only : Buffer.concat(this.parts, this.length);
  }

  /** Discards the body. */
  clear(): void {
    this.parts.length = 0;
    this.block = undefined;
    this.used = 0;
    this.length = 0;
    this.count = 0;
  }

  private copy(chunk: Buffer): void {
    if (this.block === undefined || this.used + chunk.length > this.block.length) {
      this.closeBlock();
      const isFirst = this.parts.length <= 1;
      this.block = Buffer.allocUnsafeSlow(
        Math.max(chunk.length, isFirst ? FIRST_BLOCK_BYTES : BLOCK_BYTES),
      );
    }
    chunk.copy(this.block, this.used);
    this.used += chunk.length;
  }

  private closeBlock(): void {
    if (this.block !== undefined) {
      this.parts.push(this.block.subarray(0, this.used));
      this.block = undefined;
      this.used = 0;
    }
  }
}
