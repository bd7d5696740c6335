/** Random odd content of the store, through the decoders, the reducer and the messages between gateways, and over sockets. */
import { setTimeout as delay } from 'node:timers/promises';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { platformStore } from '../../platform/store-format.js';
import { readGatewaySettings } from '../../src/gateway/read-settings.js';
import {
  decodePeerMessage,
  encodePeerMessage,
} from '../../src/gateway/runtime/peers/peer-codec.js';
import type { ReaderUpdate } from '../../src/gateway/readers/reader-update.js';
import type { CollectionName } from '../../src/gateway/store/collection.js';
import type { StoreChanges, StorePage } from '../../src/gateway/store/store-objects.js';
import { isConnectable } from '../../src/settings/parse-host-port.js';
import { VirtualGateway } from '../gateway/virtual-gateway.js';
import { GatewayFixture, until } from './gateway-fixture.js';
import { type OddContent, oddContent, oddSettings } from './odd-content.js';
import { replicaSpec } from './odd-objects.js';
import { configurationSpec, routeSpec } from './operator-spec.js';
import { encodeJson } from './raw-json.js';

const SEED = 20_620;
const RUNS = 300;
const SOCKET_OBJECTS = 150;

/** Versions of odd configurations before and after the first one in force, and of the configuration after them. */
const EARLY_VERSION = 1;
const ODD_VERSION = 5;
const LAST_VERSION = 9;

const KINDS: Readonly<Record<OddContent['kind'], CollectionName>> = {
  config: 'configuration',
  servers: 'replicas',
  gateways: 'gateways',
  evacuations: 'evacuations',
};

const lastConfiguration = configurationSpec(
  LAST_VERSION,
  [routeSpec({ path_prefix: '/one/', service: 'desk' })],
  ['desk'],
  8,
);

/** A gateway in virtual time that reads answers of the store as a real one does. */
class ReadingGateway {
  readonly gateway = new VirtualGateway();
  private revision = 10;

  /** Each collection is listed twice: the first list is a stale read. */
  constructor() {
    for (const kind of ['config', 'servers', 'gateways', 'evacuations'] as const) {
      this.read({ kind, name: 'first', spec: {} }, true);
      this.read({ kind, name: 'first', spec: {} }, true);
    }
  }

  /** Reads an object in the answer to a list or a watch. */
  read({ kind, name, spec }: OddContent, isList: boolean): void {
    this.revision += 1;
    const object = { meta: { name, revision: this.revision, deleting: false }, spec };
    const sound = { meta: { name: 'sound', revision: 1 }, spec: replicaSpec({}) };
    const all = kind === 'servers' ? [object, sound] : [object];
    const events = all.map((each) => ({ object: each, gone: false }));
    const answer = { items: all, events, more: false, at: this.revision };
    const collection = KINDS[kind];
    if (isList) {
      const call = { type: 'list', collection, stale: false, timeoutMs: 1 } as const;
      platformStore.readPage(call, encodeJson(answer)).ifRight((page) => this.emitPage(page));
    } else {
      const call = { type: 'watch', collection, revision: 1, waitMs: 1, timeoutMs: 1 } as const;
      const changes = platformStore.readChanges(call, encodeJson(answer));
      changes.ifRight((each) => this.emitChanges(each));
    }
  }

  private emitPage(page: StorePage): void {
    this.gateway.emit({ type: 'page-read', at: this.gateway.now, page });
    this.forward({ ...page, type: 'snapshot' });
  }

  private emitChanges(changes: StoreChanges): void {
    this.gateway.emit({ type: 'changes-read', at: this.gateway.now, changes });
    this.forward({ ...changes, type: 'changes', after: 1 });
  }

  /** Sends an update to a follower. */
  private forward(news: ReaderUpdate): void {
    expect(decodePeerMessage(encodePeerMessage({ type: 'news', news })).isRight()).toBe(true);
  }
}

let fixture: GatewayFixture | undefined;

/** Exceptions that would end a gateway that runs as a process of its own. */
const uncaught: unknown[] = [];

const recordUncaught = (error: unknown): void => {
  uncaught.push(error);
};

beforeEach(() => {
  process.on('uncaughtException', recordUncaught);
});

afterEach(async () => {
  process.off('uncaughtException', recordUncaught);
  await fixture?.stop();
});

describe('odd content of the store', () => {
  // A value that one of the decoders, the reducer or a socket did not expect ended the process.
  it('ends nothing, and what is sound and what comes later is followed', () => {
    const content = fc.array(fc.tuple(oddContent(ODD_VERSION), fc.boolean()), { maxLength: 12 });
    fc.assert(
      fc.property(content, (objects) => {
        const reading = new ReadingGateway();
        const { gateway } = reading;
        for (const [object, isList] of objects) {
          reading.read(object, isList);
          gateway.request(900, false, undefined, undefined, '/odd/x');
          gateway.advanceTo(gateway.now + 100);
        }
        reading.read({ kind: 'config', name: 'main', spec: lastConfiguration }, true);
        reading.read({ kind: 'servers', name: 'desk-1', spec: replicaSpec({}) }, true);
        const { inForce, replicas, peers } = gateway.state;
        expect(inForce?.configuration.version).toBe(LAST_VERSION);
        expect([...replicas.all()].map(({ record }) => record.id)).toContain('sound');
        expect([...replicas.all()].every(({ record }) => isConnectable(record))).toBe(true);
        expect([...peers.all()].every(({ address }) => isConnectable(address))).toBe(true);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('of the settings gives settings or findings', () => {
    fc.assert(
      fc.property(oddSettings, (settings) => {
        const read = readGatewaySettings('settings', encodeJson(settings));
        expect(read.isLeft() || read.isRight()).toBe(true);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('ends no gateway over sockets, and the last configuration comes into force', async () => {
    const running = await GatewayFixture.create();
    fixture = running;
    const routes = ['desk', 'odd'].map((service) =>
      routeSpec({ path_prefix: `/${service}/`, service }),
    );
    running.configure(routes, ['desk', 'odd']);
    await running.addReplica('desk-1', 'desk');
    await running.serve();
    const peer = await running.startPeer('front-2', 1);
    const options = { seed: SEED, numRuns: SOCKET_OBJECTS };
    const objects = [EARLY_VERSION, ODD_VERSION].flatMap((version) =>
      fc.sample(oddContent(version), options),
    );
    const answers: Promise<unknown>[] = [];
    for (const [index, { kind, name, spec }] of objects.entries()) {
      running.store.put(kind, name, spec);
      const request = { id: `r-${index}`, path: index % 2 === 0 ? '/odd/' : '/desk/' };
      answers.push(running.request(request).catch(String));
      await delay(10);
    }
    running.store.put('config', 'main', lastConfiguration);
    await Promise.all(answers);
    const versionOf = ({ state }: typeof peer): number | undefined =>
      state.inForce?.configuration.version;
    await until(() => versionOf(running.gateway) === LAST_VERSION, 'the last version is in force');
    await until(() => versionOf(peer) === LAST_VERSION, 'it is in force at the follower');
    expect((await running.request({ id: 'r-last', path: '/one/' })).status).toBe(200);
    expect(uncaught).toEqual([]);
  });
});
