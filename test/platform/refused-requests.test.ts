import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { Decision } from '../../src/gateway/log/log-event.js';
import { GatewayFixture, until } from './gateway-fixture.js';
import { LIMITS, routeSpec } from './operator-spec.js';
import { RawCaller, requestHead } from './raw-caller.js';

let fixture: GatewayFixture;
let caller: RawCaller;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
  fixture.configure([routeSpec({ path_prefix: '/one/', service: 'desk' })], ['desk']);
  await fixture.addReplica('desk-1', 'desk');
  await fixture.serve();
  caller = await RawCaller.open(fixture.settings.callers);
});

afterEach(async () => {
  caller.close();
  await fixture.stop();
});

const countOf = async (reason: string): Promise<number> => {
  const { text } = await fixture.readMetrics();
  const series = `crossroad_gateway_requests_total{route="",outcome="${reason}"} `;
  const line = text.split('\n').find((each) => each.startsWith(series));
  return Number(line?.slice(series.length) ?? 0);
};

/** The decisions of all logged traces. */
const finalDecisions = (): readonly Decision[] =>
  fixture.log.traces.flatMap(({ decisions }) => decisions.map(({ decision }) => decision));

const TOO_LONG = LIMITS.max_body_bytes + 1;
const CHUNKED = ['Transfer-Encoding: chunked'];

describe('a request that is refused because of its content', () => {
  it.each<readonly [string, number, string]>([
    ['no-route', 404, requestHead('GET /none/x')],
    ['no-request-id', 400, requestHead('GET /one/x').replace('r-1', '')],
    ['no-host', 400, requestHead('GET /one/x').replace('Host', 'X-Host')],
    ['headers-too-large', 431, requestHead('GET /one/x', [`X-Long: ${'v'.repeat(70_000)}`])],
    [
      'body-too-large',
      413,
      requestHead('POST /one/x', [`Content-Length: ${TOO_LONG}`]) + 'b'.repeat(TOO_LONG),
    ],
  ])('is counted and logged by its reason, %s (%i)', async (reason, status, text) => {
    caller.send(text);
    expect(await caller.statuses(1)).toEqual([status]);
    expect(await countOf(reason)).toBe(1);
    expect(finalDecisions()).toMatchObject([{ event: 'request-answered', reason }]);
  });
});

describe('input that cannot be parsed as a request', () => {
  const unreadable = () =>
    fixture.log.lines.filter(({ change }) => change.event === 'request-unreadable');

  it.each<readonly [string, number, string, string]>([
    ['malformed', 400, 'HPE_INVALID_METHOD', 'no request at all\r\n\r\n'],
    [
      'malformed',
      400,
      'HPE_INVALID_CHUNK_SIZE',
      `${requestHead('POST /one/x', CHUNKED)}no size\r\n`,
    ],
    [
      'headers-too-large',
      431,
      'HPE_HEADER_OVERFLOW',
      requestHead('GET /one/x', [`X-Long: ${'v'.repeat(1_048_576)}`]),
    ],
    [
      'chunk-extensions-too-large',
      413,
      'HPE_CHUNK_EXTENSIONS_OVERFLOW',
      `${requestHead('POST /one/x', CHUNKED)}1;${'e'.repeat(20_000)}\r\na\r\n0\r\n\r\n`,
    ],
  ])('is counted and logged by its reason, %s (%i, %s)', async (problem, status, detail, text) => {
    caller.send(text);
    expect(await caller.statuses(1)).toEqual([status]);
    expect(await countOf(problem)).toBe(1);
    expect(unreadable()).toMatchObject([
      { level: 'warn', part: 'caller', change: { problem, status, detail, from: '127.0.0.1' } },
    ]);
  });

  it('is counted and logged when the caller closes its side within a request', async () => {
    caller.send('GET /one/x HTTP/1.1\r\nHo');
    caller.endSending();
    expect(await caller.statuses(1)).toEqual([400]);
    expect(await countOf('cut-off')).toBe(1);
    expect(unreadable()).toMatchObject([{ change: { problem: 'cut-off', status: 400 } }]);
  });

  it('cancels the requests before it when the caller closes its side within a request', async () => {
    const replica = await fixture.addReplica('slow-1', 'slow', { workMs: 2_000 });
    const route = routeSpec({ path_prefix: '/slow/', service: 'slow' });
    await fixture.untilInForce(fixture.configure([route], ['slow']));
    caller.send(`${requestHead('GET /slow/x')}GET /slow/y HTTP/1.1\r\nHo`);
    await until(() => replica.arrived.length === 1, 'the request has arrived');
    caller.endSending();
    await until(() => replica.arrived[0]?.left === true, 'the replica has seen the end');
    expect(fixture.gateway.state.requests.size).toBe(0);
    expect(unreadable()).toEqual([]);
  });
});
