import { createServer, type Server } from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { platformProtocol } from '../../platform/protocol.js';
import { startGateway } from '../../src/gateway/runtime/start-gateway.js';
import { OWN_ADDRESS } from '../support/own-address.js';
import { GatewayFixture } from './gateway-fixture.js';

const SILENT_LOG = { write: () => undefined, writeTrace: () => undefined };

let fixture: GatewayFixture;
let occupant: Server;

const listen = (port: number): Promise<Server> =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(port, OWN_ADDRESS, () => resolve(server));
  });

beforeEach(async () => {
  fixture = await GatewayFixture.create();
  occupant = await listen(fixture.settings.peers.port);
});

afterEach(async () => {
  occupant.close();
  await fixture.stop();
});

it('a gateway that fails to open one of its ports closes the others', async () => {
  const { settings } = fixture;
  await expect(startGateway(settings, platformProtocol, SILENT_LOG)).rejects.toThrow('EADDRINUSE');
  const callers = await listen(settings.callers.port);
  callers.close();
});

it('the fixture uses other ports if one of its own is taken meanwhile', async () => {
  const before = fixture.settings.peers.port;
  await fixture.startGateway();
  expect(fixture.settings.peers.port).not.toBe(before);
});
