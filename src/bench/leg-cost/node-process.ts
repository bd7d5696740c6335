/** Runs the measured node in its own process. */
import { startNode } from '../../runtime/start-node.js';
import { BENCH } from './bench-leg.js';
import { sendReply, handleCommands } from './bench-messages.js';

const LOOPBACK = { host: '127.0.0.1', port: 0 };

const start = async (platform: string): Promise<void> => {
  const node = await startNode({
    node: 'bench-1',
    zone: 'bench',
    region: 'bench',
    caller: LOOPBACK,
    peer: LOOPBACK,
    operator: LOOPBACK,
    platform,
    seeds: [],
    peerSecret: BENCH.peerSecret,
    logLevel: 'warn',
    seed: 1,
  });
  const readinessPoll = setInterval(() => {
    if (node.state.phase === 'serving') {
      clearInterval(readinessPoll);
      sendReply({ type: 'ready', ports: [node.ports.caller] });
    }
  }, 10);
};

handleCommands((command) => {
  if (command.type === 'start-node') {
    void start(command.platform);
  }
});
