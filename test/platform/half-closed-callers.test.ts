import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayFixture, until } from './gateway-fixture.js';
import { routeSpec } from './operator-spec.js';
import { RawCaller, requestHead } from './raw-caller.js';
import type { ReplicaBehaviour, StandInReplica } from './stand-in-replica.js';

/** Time after which replicas must not work for a caller that has left, in milliseconds. */
const LEAVING_BOUND_MS = 500;

/** Length of an answer that does not fit into the buffers of the kernel, in bytes. */
const LONG_ANSWER_BYTES = 15 * 1024 * 1024;

let fixture: GatewayFixture;
let replica: StandInReplica;
let caller: RawCaller;

beforeEach(async () => {
  fixture = await GatewayFixture.create();
});

afterEach(async () => {
  caller.close();
  await fixture.stop();
});

const sendTo = async (behaviour: Partial<ReplicaBehaviour>): Promise<void> => {
  fixture.configure([routeSpec({ path_prefix: '/one/', service: 'desk' })], ['desk']);
  replica = await fixture.addReplica('desk-1', 'desk', behaviour);
  await fixture.serve();
  caller = await RawCaller.open(fixture.settings.callers);
  caller.send(requestHead('GET /one/'));
  await until(() => replica.arrived.length === 1, 'the request has arrived');
};

describe('a caller that closes its sending side', () => {
  // A close of one side and of both are the same segment: replicas would continue to work for callers that are gone.
  it('counts as one that has left', async () => {
    await sendTo({ silent: true });
    const closedAt = performance.now();
    caller.endSending();
    await until(() => replica.arrived[0]?.left === true, 'the replica has seen the end');
    expect(performance.now() - closedAt).toBeLessThan(LEAVING_BOUND_MS);
    await until(() => caller.isClosed, 'the connection is closed');
    expect(caller.answers).toEqual([]);
  });

  // A connection that is closed at once loses a part of an answer that is being sent.
  it('gets the rest of an answer that is being sent', async () => {
    await sendTo({ body: Buffer.alloc(LONG_ANSWER_BYTES) });
    await until(() => fixture.gateway.state.requests.size === 0, 'the answer is being sent');
    caller.endSending();
    expect(await caller.statuses(1)).toEqual([200]);
  });
});
