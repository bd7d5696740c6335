import fc from 'fast-check';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { GatewayFixture } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import { RawCaller } from './raw-caller.js';

const HOST = 'shop.example';
const RUNS = 150;

let fixture: GatewayFixture;

beforeAll(async () => {
  fixture = await GatewayFixture.create();
  fixture.configure([routeSpec({ path_prefix: '/one/', service: 'desk' })], ['desk']);
  await fixture.addReplica('desk-1', 'desk');
  await fixture.serve();
});

afterAll(() => fixture.stop());

const textOf = (characters: string, maxLength: number): fc.Arbitrary<string> =>
  fc.array(fc.constantFrom(...characters), { maxLength }).map((chosen) => chosen.join(''));

const LETTERS = 'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ';
const DIGITS = '0123456789';

/** Tokens of RFC 9110, section 5.6.2. */
const TOKEN = `${LETTERS}${DIGITS}!#$%&'*+-.^_\`|~`;

/** Characters of paths and queries (RFC 3986), and further ones that clients send. */
const PATH = `${LETTERS}${DIGITS}-._~!$&'()*+,;=:@/%[]{}|^"<>\\`;

const VALUE = `${LETTERS}${DIGITS} \t!"#$%&'()*+,-./:;<=>?@[]^_{|}~\x80\xe9\xff`;

const anyHost = fc
  .tuple(fc.mixedCase(fc.constant(HOST)), fc.constantFrom('', ':80', ':8080', ':'))
  .map(([name, port]) => name + port);

const anyTarget = fc
  .tuple(textOf(PATH, 60), fc.option(textOf(`${PATH}?`, 60)))
  .map(([path, query]) => `/one/${path}${query === null ? '' : `?${query}`}`);

/** Custom headers without a meaning for the connection or the gateway. */
const anyHeaders = fc.array(
  fc.tuple(textOf(TOKEN, 20), textOf(VALUE, 300)).map(([name, value]) => `x-own-${name}: ${value}`),
  { maxLength: 40 },
);

const inChunks = (body: string, extension: string): string => {
  const half = Math.ceil(body.length / 2);
  const chunks = [body.slice(0, half), body.slice(half)].filter(({ length }) => length > 0);
  const written = chunks.map((chunk) => `${chunk.length.toString(16)}${extension}\r\n${chunk}\r\n`);
  return `${written.join('')}0\r\n\r\n`;
};

/** The headers and bytes of a body. */
const anyBody = fc
  .tuple(
    textOf(`${VALUE}\r\n\0`, 500),
    fc.constantFrom('none', 'length', 'chunks'),
    textOf(LETTERS, 9),
  )
  .map(([body, kind, name]): readonly [readonly string[], string] => {
    switch (kind) {
      case 'length':
        return [[`Content-Length: ${body.length}`], body];
      case 'chunks':
        return [['transfer-encoding: Chunked'], inChunks(body, name === '' ? '' : `;${name}=1`)];
      default:
        return [[], ''];
    }
  });

const anyRequest = fc
  .record({
    method: fc.constantFrom('GET', 'POST', 'PUT', 'DELETE', 'PATCH', 'OPTIONS'),
    target: anyTarget,
    host: anyHost,
    headers: anyHeaders,
    body: anyBody,
  })
  .map(({ method, target, host, headers, body: [bodyHeaders, body] }) => {
    const lines = [
      `${method} ${target} HTTP/1.1`,
      ...headers,
      `host: ${host}`,
      'X-REQUEST-ID: r-1',
    ];
    return `${[...lines, ...bodyHeaders].join('\r\n')}\r\n\r\n${body}`;
  });

const inPieces = (text: string, sizes: readonly number[]): readonly string[] => {
  const pieces: string[] = [];
  let from = 0;
  for (const size of sizes) {
    pieces.push(text.slice(from, from + size));
    from += size;
  }
  return [...pieces, text.slice(from)];
};

describe('any proper requests', () => {
  it(
    'are served in sequence on one connection, however their bytes are split',
    () =>
      fc.assert(
        fc.asyncProperty(
          fc.array(anyRequest, { minLength: 1, maxLength: 4 }),
          fc.array(fc.integer({ min: 1, max: 400 }), { maxLength: 8 }),
          async (requests, sizes) => {
            const caller = await RawCaller.open(fixture.settings.callers);
            for (const piece of inPieces(requests.join(''), sizes)) {
              caller.send(piece);
              await new Promise(setImmediate);
            }
            const statuses = await caller.statuses(requests.length);
            caller.close();
            expect(statuses).toEqual(requests.map(() => 200));
          },
        ),
        { numRuns: RUNS },
      ),
    30_000,
  );
});
