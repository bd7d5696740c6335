/** The limit on what is parsed of an answer at one time, as a share of the heap that the process may use. */
import { getHeapStatistics } from 'node:v8';

/** Share of the heap that the values parsed at one time may take. */
const PARSED_SHARE = 1 / 8;

/** Bytes of the heap that the values parsed at one time may take. */
export const MAX_PARSED_BYTES = getHeapStatistics().heap_size_limit * PARSED_SHARE;
