/** Records the core's events to a file, when the operator asks for it, up to a bound. */
import { createWriteStream, type WriteStream } from 'node:fs';
import type { Effect } from '../core/effect.js';
import type { Event } from '../core/event.js';
import type { CoreOptions } from '../core/state.js';
import { encodeEntry, encodeHeader } from '../replay/event-record.js';
import type { LogWriter } from './node-log.js';

/** Longest record, in bytes; recording ends there. */
const MAX_RECORD_BYTES = 256 * 1024 * 1024;

/** Most bytes that wait to be written; recording ends when the file is slower than that. */
const MAX_QUEUED_BYTES = 32 * 1024 * 1024;

/** Writes one record. A file that fails ends the recording, never the node. */
export class EventRecorder {
  private readonly stream: WriteStream;
  private written = 0;
  private ended = false;

  constructor(
    file: string,
    options: CoreOptions,
    private readonly log: LogWriter,
    private readonly maxBytes = MAX_RECORD_BYTES,
  ) {
    this.stream = createWriteStream(file);
    this.stream.on('error', (error) => this.stop(`the file failed: ${error.message}`));
    this.write(encodeHeader(options));
  }

  /** Takes one step of the core. */
  record(event: Event, effects: readonly Effect[]): void {
    if (!this.ended) {
      this.write(encodeEntry(event, effects));
    }
  }

  /** Ends the record; resolves when it is written. */
  close(): Promise<void> {
    this.ended = true;
    return new Promise((resolve) => {
      this.stream.end(() => resolve());
      this.stream.once('error', () => resolve());
    });
  }

  private write(frame: Buffer): void {
    if (this.written + frame.length > this.maxBytes) {
      this.stop(`the bound of ${this.maxBytes} bytes is reached`);
      return;
    }
    this.written += frame.length;
    this.stream.write(frame);
    if (this.stream.writableLength > MAX_QUEUED_BYTES) {
      this.stop('the file is too slow');
    }
  }

  private stop(reason: string): void {
    if (!this.ended) {
      this.ended = true;
      this.stream.end();
      this.log('warn', 'node', `Recording of events has ended: ${reason}.`);
    }
  }
}
