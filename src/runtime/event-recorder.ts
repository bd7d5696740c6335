/** Records the core's events to a file of limited size, if the settings name one. */
import { createWriteStream, type WriteStream } from 'node:fs';
import type { Effect } from '../core/effect.js';
import type { Event } from '../core/event.js';
import type { CoreOptions } from '../core/state.js';
import { encodeEntry, encodeHeader } from '../replay/event-record.js';
import type { LogWriter } from './node-log.js';

/** Maximum size of a record, in bytes; recording stops at this size. */
const MAX_RECORD_BYTES = 256 * 1024 * 1024;

/** Maximum number of bytes queued for writing; recording stops if the file is written too slowly. */
const MAX_QUEUED_BYTES = 32 * 1024 * 1024;

/** Writes one record. If the file fails, the recording stops and the node continues. */
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
    this.stream.on('error', (error) => this.stop(`writing to the file failed: ${error.message}`));
    this.write(encodeHeader(options));
  }

  /** Records a step of the core. */
  record(event: Event, effects: readonly Effect[]): void {
    if (!this.ended) {
      this.write(encodeEntry(event, effects));
    }
  }

  /** Ends the record; resolves when it has been written. */
  close(): Promise<void> {
    this.ended = true;
    return new Promise((resolve) => {
      this.stream.end(() => resolve());
      this.stream.once('error', () => resolve());
    });
  }

  private write(frame: Buffer): void {
    if (this.written + frame.length > this.maxBytes) {
      this.stop(`the limit of ${this.maxBytes} bytes is reached`);
      return;
    }
    this.written += frame.length;
    this.stream.write(frame);
    if (this.stream.writableLength > MAX_QUEUED_BYTES) {
      this.stop('the file is written too slowly');
    }
  }

  private stop(reason: string): void {
    if (!this.ended) {
      this.ended = true;
      this.stream.end();
      this.log('warn', 'node', `Recording of events stopped: ${reason}.`);
    }
  }
}
