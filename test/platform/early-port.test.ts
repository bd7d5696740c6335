import { request as sendRequest } from 'node:http';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { connect } from 'node:net';
import { once } from 'node:events';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { platformProtocol } from '../../platform/protocol.js';
import { openEarlyPort } from '../../src/gateway/runtime/early-port.js';
import { startGateway } from '../../src/gateway/runtime/start-gateway.js';
import { GatewayFixture } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import { RawCaller, requestHead } from './raw-caller.js';
import { settingsFileOf } from './settings-file.js';

const SILENT_LOG = { write: () => undefined, writeTrace: () => undefined };

let fixture: GatewayFixture;
let folder: string;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
  folder = await mkdtemp(join(tmpdir(), 'crossroad-'));
  fixture.configure([routeSpec({ path_prefix: '/one/', service: 'desk' })], ['desk']);
  await fixture.addReplica('desk-1', 'desk');
});

afterEach(async () => {
  await fixture.stop();
  await rm(folder, { recursive: true, force: true });
});

const settingsFile = async (text: string): Promise<string> => {
  const file = join(folder, 'settings.json');
  await writeFile(file, text);
  return file;
};

/** Sends a request over a new connection; resolves to the status. */
const requestStatus = (id: string): Promise<number> =>
  new Promise((resolve, reject) => {
    const outgoing = sendRequest(
      {
        ...fixture.settings.callers,
        path: '/one/x',
        agent: false,
        headers: { host: 'shop.example', 'x-request-id': id, 'x-time-budget-ms': '5000' },
      },
      (incoming) => {
        incoming.resume();
        incoming.on('end', () => resolve(incoming.statusCode ?? 0));
      },
    );
    outgoing.on('error', reject);
    outgoing.end();
  });

describe('the early port', () => {
  it('passes its connections to the gateway, both earlier and later ones', async () => {
    const early = await openEarlyPort(await settingsFile(settingsFileOf(fixture.settings)));
    expect(early?.address).toEqual(fixture.settings.callers);
    const waiting = [requestStatus('r-1'), requestStatus('r-2')];
    await delay(100);
    const gateway = await startGateway(fixture.settings, platformProtocol, SILENT_LOG, early);
    expect(await Promise.all(waiting)).toEqual([200, 200]);
    expect(await requestStatus('r-3')).toBe(200);
    gateway.kill();
    await gateway.ended;
    const refused = connect(fixture.settings.callers);
    const [error] = (await once(refused, 'error')) as [NodeJS.ErrnoException];
    expect(error.code).toBe('ECONNREFUSED');
  });

  it('serves requests that arrive in pieces before and after, and ignores a closed connection', async () => {
    const early = await openEarlyPort(await settingsFile(settingsFileOf(fixture.settings)));
    const { callers } = fixture.settings;
    const [split, silent, closed] = [
      await RawCaller.open(callers),
      await RawCaller.open(callers),
      await RawCaller.open(callers),
    ];
    const text = `${requestHead('POST /one/x', ['Content-Length: 4'])}body`;
    split.send(text.slice(0, 40));
    closed.send(text.slice(0, 40));
    await delay(50);
    closed.close();
    const gateway = await startGateway(fixture.settings, platformProtocol, SILENT_LOG, early);
    split.send(text.slice(40));
    silent.send(text);
    expect([await split.statuses(1), await silent.statuses(1)]).toEqual([[200], [200]]);
    split.close();
    silent.close();
    gateway.kill();
    await gateway.ended;
  });

  it('is not opened if the settings are invalid or the address is in use', async () => {
    expect(await openEarlyPort(join(folder, 'nothing.json'))).toBeUndefined();
    expect(await openEarlyPort(await settingsFile('{"callers": 7}'))).toBeUndefined();
    const { host, port } = fixture.settings.store;
    const taken = await settingsFile(JSON.stringify({ callers: `${host}:${port}` }));
    expect(await openEarlyPort(taken)).toBeUndefined();
  });
});
