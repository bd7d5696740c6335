import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayFixture, until } from './gateway-fixture.js';
import { LIMITS, routeSpec } from './operator-spec.js';
import { RawCaller, requestHead } from './raw-caller.js';

let fixture: GatewayFixture;
const callers: RawCaller[] = [];

beforeEach(async () => {
  fixture = await GatewayFixture.create();
  fixture.configure([routeSpec({ path_prefix: '/one/', service: 'desk' })], ['desk']);
  await fixture.addReplica('desk-1', 'desk');
});

afterEach(async () => {
  callers.splice(0).forEach((caller) => caller.close());
  await fixture.stop();
});

const openCaller = async (): Promise<RawCaller> => {
  const caller = await RawCaller.open(fixture.settings.callers);
  callers.push(caller);
  return caller;
};

const statusesOf = async (text: string, count = 1): Promise<readonly number[]> => {
  const caller = await openCaller();
  caller.send(text);
  return caller.statuses(count);
};

const BODY = 'a booking';
const WITH_LENGTH = [`Content-Length: ${BODY.length}`];
const CHUNKED = ['Transfer-Encoding: chunked'];

/** Many short headers before the host: 15,000 bytes. */
const MANY_FIELDS = 'a: b\r\n'.repeat(2_500);

describe('a proper request', () => {
  beforeEach(() => fixture.serve());

  it.each<readonly [string, string]>([
    ['with a port in its host', requestHead('GET /one/x', [], 'shop.example:8080')],
    ['with its host in mixed case', requestHead('GET /one/x', [], 'SHOP.Example')],
    ['with percent-encoded bytes in its path', requestHead('GET /one/%2e%2E/%00/%C3%A9/%2F')],
    ['with slashes and dots in its path', requestHead('GET /one//../x/./')],
    ['with punctuation in its path', requestHead("GET /one/-._~!$&'()*+,;=:@[]{}|^`<>")],
    ['with slashes in its query', requestHead('GET /one/x?a=/two/&b=//&c=?&d=%zz')],
    ['with an empty query', requestHead('GET /one/x?')],
    ['with empty values of headers', requestHead('GET /one/x', ['X-Empty:', 'X-Blank:   '])],
    ['with non-ASCII bytes in a header', requestHead('GET /one/x', ['X-Own: \xe9\xff\t\x80'])],
    ['with punctuation in a header name', requestHead('GET /one/x', ["!#$%&'*+-.^_`|~: x"])],
    ['with a duplicate header', requestHead('GET /one/x', ['X-Own: 1', 'X-Own: 2'])],
    ['with a long header', requestHead('GET /one/x', [`X-Long: ${'v'.repeat(15_000)}`])],
    ['with a long path', requestHead(`GET /one/${'p'.repeat(15_000)}`)],
    ['with very many headers', requestHead('GET /one/x').replace('Host', `${MANY_FIELDS}Host`)],
    ['after an empty line', `\r\n${requestHead('GET /one/x')}`],
    [
      'that asks for another protocol',
      requestHead('GET /one/x', ['Connection: Upgrade', 'Upgrade: h2c']),
    ],
    ['with an unknown expectation', requestHead('GET /one/x', ['Expect: a-surprise'])],
    ['whose target is absolute', requestHead('GET http://shop.example/one/x?a=1')],
    [
      'whose absolute target has a port',
      requestHead('GET http://Shop.example:80/one/x', [], 'other'),
    ],
    ['of another method', requestHead('DELETE /one/x')],
    ['of the method HEAD', requestHead('HEAD /one/x')],
    ['with a body', requestHead('POST /one/x', WITH_LENGTH) + BODY],
    ['with an empty body', requestHead('POST /one/x', ['Content-Length: 0'])],
    ['with a body and a safe method', requestHead('GET /one/x', WITH_LENGTH) + BODY],
    ['in chunks', `${requestHead('POST /one/x', CHUNKED)}5\r\na boo\r\n4\r\nking\r\n0\r\n\r\n`],
    [
      'in chunks with extensions and a trailer',
      `${requestHead('POST /one/x', CHUNKED)}9;a=b;c="d e"\r\n${BODY}\r\n0\r\nX-After: 1\r\n\r\n`,
    ],
    [
      'with a body of the largest allowed size',
      requestHead('POST /one/x', [`Content-Length: ${LIMITS.max_body_bytes}`]) +
        'b'.repeat(LIMITS.max_body_bytes),
    ],
  ])('%s is served', async (_what, text) => {
    expect(await statusesOf(text)).toEqual([200]);
  });

  it('that expects 100 Continue gets it and is served', async () => {
    const caller = await openCaller();
    caller.send(requestHead('POST /one/x', [...WITH_LENGTH, 'Expect: 100-continue']));
    expect(await caller.statuses(1)).toEqual([100]);
    caller.send(BODY);
    expect(await caller.statuses(2)).toEqual([100, 200]);
    expect(fixture.replicas.get('desk-1')?.arrived[0]?.body).toBe(BODY);
  });

  it('that arrives byte by byte is served', async () => {
    const caller = await openCaller();
    for (const byte of requestHead('POST /one/x', WITH_LENGTH) + BODY) {
      caller.send(byte);
      await new Promise(setImmediate);
    }
    expect(await caller.statuses(1)).toEqual([200]);
  });

  it('is served together with requests pipelined on the same connection', async () => {
    const text =
      requestHead('GET /one/x') +
      requestHead('POST /one/y', WITH_LENGTH) +
      BODY +
      requestHead('GET /one/z');
    expect(await statusesOf(text, 3)).toEqual([200, 200, 200]);
  });
});

describe('a proper request followed by invalid input on its connection', () => {
  beforeEach(async () => {
    await fixture.serve();
    const replica = fixture.replicas.get('desk-1');
    if (replica !== undefined) {
      replica.behaviour.workMs = 100;
    }
  });

  it('is answered before the invalid input is refused', async () => {
    const text = `${requestHead('GET /one/x')}no request at all\r\n\r\n`;
    expect(await statusesOf(text, 2)).toEqual([200, 400]);
  });

  it('is answered together with another one before a broken body is refused', async () => {
    const broken = `${requestHead('POST /one/z', CHUNKED)}no size\r\n`;
    const text = requestHead('GET /one/x') + requestHead('GET /one/y') + broken;
    expect(await statusesOf(text, 3)).toEqual([200, 200, 400]);
  });

  it('is answered when it asks for the connection to be closed', async () => {
    const caller = await openCaller();
    caller.send(`${requestHead('GET /one/x', ['Connection: close'])}no request at all\r\n\r\n`);
    await until(() => caller.isClosed, 'the connection is closed');
    expect(await caller.statuses(1)).toEqual([200]);
  });
});

const BEYOND_FIRST_HEADER = `X-Long: ${'v'.repeat(80_000)}`;
const BEYOND_FIRST_BODY = 1_048_577;

describe('limits', () => {
  const route = routeSpec({ path_prefix: '/one/', service: 'desk' });

  const allow = async (limits: Partial<typeof LIMITS>): Promise<void> =>
    fixture.untilInForce(fixture.configure([route], ['desk'], 26, limits));

  it('of a configuration that are larger than the initial ones apply', async () => {
    await fixture.serve();
    await allow({ max_header_bytes: 100_000, max_body_bytes: 2_000_000 });
    const body = 'b'.repeat(BEYOND_FIRST_BODY);
    const fields = [BEYOND_FIRST_HEADER, `Content-Length: ${body.length}`];
    expect(await statusesOf(requestHead('POST /one/x', fields) + body)).toEqual([200]);
  });

  it('that grow apply to open connections', async () => {
    await fixture.serve();
    const caller = await openCaller();
    caller.send(requestHead('GET /one/x'));
    await caller.statuses(1);
    await allow({ max_header_bytes: 100_000 });
    caller.send(requestHead('GET /one/x', [BEYOND_FIRST_HEADER]));
    expect(await caller.statuses(2)).toEqual([200, 200]);
  });

  it('that grow apply to a body in transfer', async () => {
    await fixture.serve();
    const caller = await openCaller();
    const length = 2 * LIMITS.max_body_bytes;
    caller.send(`${requestHead('POST /one/x', [`Content-Length: ${length}`])}b`);
    await allow({ max_body_bytes: length });
    caller.send('b'.repeat(length - 1));
    expect(await caller.statuses(1)).toEqual([200]);
  });

  it('that shrink do not apply to a body in transfer', async () => {
    await fixture.serve();
    const caller = await openCaller();
    const length = LIMITS.max_body_bytes;
    caller.send(`${requestHead('POST /one/x', [`Content-Length: ${length}`])}b`);
    await until(() => fixture.gateway.state.reading.isReading, 'the store is watched');
    await allow({ max_body_bytes: 10 });
    caller.send('b'.repeat(length - 1));
    expect(await caller.statuses(1)).toEqual([200]);
  });

  it('are unknown before the first configuration, so excess is refused with 503', async () => {
    fixture.store.mode = 'busy';
    await fixture.startGateway();
    await until(() => !fixture.gateway.state.store.reachable, 'the store has failed');
    const body = 'b'.repeat(BEYOND_FIRST_BODY);
    const large = requestHead('POST /one/x', [`Content-Length: ${body.length}`]) + body;
    expect(await statusesOf(requestHead('GET /one/x', [BEYOND_FIRST_HEADER]))).toEqual([503]);
    expect(await statusesOf(large)).toEqual([503]);
  });
});
