/** Replays recorded events through the core and compares the effects. */
import { step } from '../core/reducer.js';
import { createCoreState } from '../core/state.js';
import { digestEffects, type EventRecord } from './event-record.js';

/** The first event whose effects differ from the recorded ones. */
export interface ReplayDifference {
  /** Position of the event in the record, counted from 1. */
  readonly entry: number;
  readonly eventType: string;
  readonly at: number;
  /** The effects of the replay; the record holds only a digest. */
  readonly effects: readonly { readonly type: string }[];
}

/** The result of a replay. */
export interface ReplayResult {
  readonly events: number;
  readonly cutBytes: number;
  /** Absent when all effects are identical byte for byte. */
  readonly difference?: ReplayDifference;
}

/** Replays a record to its end or to the first difference. */
export const replayRecord = (record: EventRecord): ReplayResult => {
  const state = createCoreState(record.options);
  const { cutBytes, entries } = record;
  for (const [index, { event, digest }] of entries.entries()) {
    const effects = step(state, event);
    if (digestEffects(effects) !== digest) {
      const entry = index + 1;
      const difference = { entry, eventType: event.type, at: event.at, effects };
      return { events: entry, cutBytes, difference };
    }
  }
  return { events: entries.length, cutBytes };
};
