/**
 * Standard output that never blocks the process. A pipe or a socket is written without blocking, from a buffer of fixed
 * size; sonic-boom writes a file on another thread. Text that does not fit into the buffer is refused.
 */
import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import sonicBoom from 'sonic-boom';

/** File descriptor of standard output. */
const STANDARD_OUTPUT = 1;

/** Maximum number of bytes that wait to be written. */
const BUFFER_BYTES = 262_144;

/** Maximum size of one write, in bytes: writes to a pipe up to this size are atomic, so that writers don't mix lines. */
const WRITE_BYTES = 4_096;

/** Maximum wait for pending output at the end of the process, in milliseconds. */
const END_WAIT_MS = 200;
const END_CHECK_MS = 10;

/** Writes lines of text. */
export interface LineSink {
  /** Returns false if there is no room for the text. */
  write(text: string): boolean;
  /** Waits for a short time until pending text is written. */
  end(): Promise<void>;
}

/** Writes to a pipe or a socket. */
class StreamSink implements LineSink {
  private readonly socket = new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true });
  private batch = '';

  constructor() {
    this.socket.on('error', () => undefined);
    this.socket.unref();
  }

  write(text: string): boolean {
    if (this.pendingBytes + text.length > BUFFER_BYTES || this.socket.destroyed) {
      return false;
    }
    if (this.batch.length + text.length > WRITE_BYTES) {
      this.writeBatch();
    }
    if (this.batch === '') {
      setImmediate(() => this.writeBatch());
    }
    this.batch += text;
    return true;
  }

  async end(): Promise<void> {
    this.writeBatch();
    const checks = END_WAIT_MS / END_CHECK_MS;
    for (let check = 0; check < checks && this.socket.writableLength > 0; check += 1) {
      await delay(END_CHECK_MS);
    }
  }

  private get pendingBytes(): number {
    return this.socket.writableLength + this.batch.length;
  }

  private writeBatch(): void {
    if (this.batch !== '') {
      this.socket.write(this.batch);
      this.batch = '';
    }
  }
}

/** Creates a sink for a file or a terminal. */
const createFileSink = (): LineSink => {
  const options = { sync: false, maxLength: BUFFER_BYTES, maxWrite: WRITE_BYTES };
  const output = new sonicBoom.SonicBoom({ fd: STANDARD_OUTPUT, ...options });
  let dropped = false;
  output.on('drop', () => {
    dropped = true;
  });
  output.on('error', () => undefined);
  return {
    write(text) {
      dropped = false;
      output.write(text);
      return !dropped;
    },
    async end() {
      output.flush(() => undefined);
      await delay(END_CHECK_MS);
    },
  };
};

/** Opens standard output with the sink that fits its type. */
export const openStandardOutput = (): LineSink => {
  const kind = fstatSync(STANDARD_OUTPUT);
  return kind.isFIFO() || kind.isSocket() ? new StreamSink() : createFileSink();
};
