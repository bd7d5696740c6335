/** The bare undici pools that the node is compared with, one per replica. */
import { type Dispatcher, Pool } from 'undici';
import { formatBenchRequest, shardName } from './bench-leg.js';
import { type PoolApi, sendReply, handleCommands } from './bench-messages.js';

/** Connections to one replica, the same number as a node has in the benchmark. */
const CONNECTIONS = 16;

const HEADERS = ['content-type', 'application/json', 'x-crossroad-deadline-ms', '5000'];

let pools: Pool[] = [];
let shards = 0;
let api: PoolApi = 'request';
let sent = 0;

const optionsOf = (shard: number): Dispatcher.DispatchOptions & { path: string } => {
  sent += 1;
  return {
    path: '/v1/leg',
    method: 'POST',
    headers: HEADERS,
    body: formatBenchRequest(`q-${sent}`, `q-${sent}.1`, shardName(shard)),
  };
};

const sendByRequest = async (pool: Pool, shard: number): Promise<void> => {
  const { body } = await pool.request(optionsOf(shard));
  await body.json();
};

const sendByDispatch = (pool: Pool, shard: number): Promise<void> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    pool.dispatch(optionsOf(shard), {
      onConnect: () => undefined,
      onHeaders: () => true,
      onData: (chunk) => chunks.push(chunk) > 0,
      onComplete: () => {
        JSON.parse(Buffer.concat(chunks).toString());
        resolve();
      },
      onError: reject,
    });
  });

const runFanOut = async (): Promise<void> => {
  const send = api === 'request' ? sendByRequest : sendByDispatch;
  const legs = Array.from({ length: shards }, (_, shard) => {
    const pool = pools[shard % pools.length];
    return pool === undefined ? Promise.resolve() : send(pool, shard);
  });
  await Promise.all(legs);
};

const run = async (fanOuts: number): Promise<void> => {
  for (let index = 0; index < fanOuts; index += 1) {
    await runFanOut();
  }
  sendReply({ type: 'ran' });
};

handleCommands((command) => {
  if (command.type === 'start-pool') {
    ({ shards, api } = command);
    pools = command.ports.map(
      (port) => new Pool(`http://127.0.0.1:${port}`, { connections: CONNECTIONS }),
    );
    sendReply({ type: 'ready', ports: [] });
  } else if (command.type === 'run') {
    void run(command.fanOuts);
  }
});
