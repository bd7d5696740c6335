/** The random streams of a run, one for each purpose, all derived from its seed. */
import { createRandom } from '../../src/core/random.js';

/** Random streams of one seed. */
export type RandomStream =
  | 'plan'
  | 'schedule'
  | 'callers'
  | 'operator'
  | 'versions'
  | 'peer-links'
  | 'calm'
  | 'last-version'
  | 'lethal'
  | 'store-returns'
  | 'entries'
  | 'tenants'
  | 'tenant-callers'
  | 'long-callers'
  | 'endless-answers'
  | 'failing-services'
  | 'concurrent-callers'
  | 'broken-off-answers';

/** New streams are appended, so that the regression seeds keep theirs. */
const STREAMS: readonly RandomStream[] = [
  'plan',
  'schedule',
  'callers',
  'operator',
  'versions',
  'peer-links',
  'calm',
  'last-version',
  'lethal',
  'store-returns',
  'entries',
  'tenants',
  'tenant-callers',
  'long-callers',
  'endless-answers',
  'failing-services',
  'concurrent-callers',
  'broken-off-answers',
];

/** Distance between the stream seeds of two runs, so that their streams differ. */
const STREAM_STRIDE = 1_000_003;

/** Creates the random stream for one purpose. */
export const streamOf = (seed: number, stream: RandomStream, index = 0) =>
  createRandom(seed * STREAM_STRIDE + STREAMS.indexOf(stream) * 10_007 + index);
