/** Objects of the store that another writer may leave, which once ended gateways or held up what they follow. */
import { RawJson } from './raw-json.js';

/** An object as another writer leaves it. */
export interface OddObject {
  readonly kind: string;
  readonly name: string;
  readonly spec: unknown;
}

/** Maximum size of an object of the store, in bytes. */
const OBJECT_BYTES = 1_048_576;

/** Size of an object without the long field, rounded up, in bytes. */
const OTHER_BYTES = 500;

const LONG_BYTES = OBJECT_BYTES - OTHER_BYTES;

const listOf = (element: string): RawJson => {
  const count = Math.floor(LONG_BYTES / (element.length + 1));
  return new RawJson(`[${Array.from({ length: count }, () => element).join(',')}]`);
};

const nested = (open: string, close: string): RawJson => {
  const depth = Math.floor(LONG_BYTES / (open.length + close.length));
  return new RawJson(`${open.repeat(depth)}0${close.repeat(depth)}`);
};

export const replicaSpec = (
  fields: Readonly<Record<string, unknown>>,
): Record<string, unknown> => ({
  service: 'desk',
  address: '127.0.0.1:9',
  zone: 'bole',
  version: 'v1',
  slots: 4,
  state: 'ready',
  cold_left_ms: 0,
  seq: 1,
  ...fields,
});

const replica = (fields: Readonly<Record<string, unknown>>, name = 'i-odd'): OddObject => ({
  kind: 'servers',
  name,
  spec: replicaSpec(fields),
});

const gateway = (fields: Readonly<Record<string, unknown>>, name = 'front-odd'): OddObject => ({
  kind: 'gateways',
  name,
  spec: { zone: 'bole', address: '127.0.0.1:9', capacity: 1, ...fields },
});

const configuration = (fields: Readonly<Record<string, unknown>>): OddObject => ({
  kind: 'config',
  name: 'main',
  spec: { version: 4, routes: [], services: [], limits: {}, ...fields },
});

/** Replicas that get no requests, since no route names their service. */
const unused = (count: number, fields: () => Readonly<Record<string, unknown>>, suffix = '') =>
  Array.from({ length: count }, (_, index) =>
    replica({ service: 'other', ...fields() }, `i-odd-${index}${suffix}`),
  );

/** More objects than a page has. */
const TWO_PAGES = 60;

/** Sets of odd objects by the fault that they show; created when they are used, since some are large. */
export const ODD_OBJECTS: Readonly<Record<string, () => readonly OddObject[]>> = {
  // The process ended as soon as it opened a connection to one of these.
  'addresses of replicas that no socket accepts': () =>
    ['127.0.0.1:70000', '999.1.1.1:80', '1.2.3.4.5:80', '1..2:80', '127.0.0.1:0'].map(
      (address, index) => replica({ address }, `i-odd-${index}`),
    ),
  'addresses of gateways that no socket accepts': () =>
    ['127.0.0.1:70000', '127.0.0.1:99999', '999.1.1.1:80', '1..2:80', '127.0.0.1:0'].map(
      (address, index) => gateway({ address }, `front-odd-${index}`),
    ),
  // The findings of one object took the whole heap.
  'a gateway with a long list of malformed suspects': () => [gateway({ suspects: listOf('{}') })],
  'a configuration with a long list of malformed routes': () => [
    configuration({ routes: listOf('0') }),
  ],
  // The text of one answer of the store was parsed as a whole, and its values took the whole heap.
  'many replicas with deep lists': () => unused(8, () => ({ extra: nested('[', ']') })),
  // What was kept of the entries took the whole heap.
  'many replicas with long zones': () => unused(100, () => ({ zone: 'z'.repeat(LONG_BYTES) })),
  // The list could not be continued after this name and never ended.
  'names at the end of a page that no URL can have': () => unused(TWO_PAGES, () => ({}), '\ud800'),
};
