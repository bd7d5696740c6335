/* global fetch */
/** Starts gateways as separate processes, with the command of the deploy file and settings in the form of its template. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

const RUN_COMMAND = /^run = "node (.*)"$/m;
const READY_POLLS = 500;
const POLL_MS = 20;

/** Bounds of the small sites, with the names of the template. */
export const BOUNDS = {
  drainMs: 3_000,
  graceSeconds: 6,
  configurationMs: 3_000,
  replicaHeartbeatMs: 1_200,
  retryRatio: 0.2,
  retryWindowSeconds: 10,
  retrySlack: 56,
};

/** Returns free ports of 127.0.0.1. */
export const freePorts = async (count) => {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
};

/** Whether the program of the deploy file has been built. */
export const isBuilt = () => existsSync('target/gateway.cjs');

const runArguments = () => {
  const [, words] = RUN_COMMAND.exec(readFileSync('deploy/system.toml', 'utf8'));
  return words.split(' ');
};

/** One gateway and its successive processes. */
export class Gateway {
  #child;
  #file;
  #firstStart = true;

  constructor({ node, zone, ports, settings, folder }) {
    const [callers, readiness, peers] = ports;
    Object.assign(this, { node, zone, callers, readiness, peers, settings });
    this.#file = join(folder, `${node}.json`);
    this.logFile = join(folder, `${node}.log`);
    this.log = '';
  }

  get pid() {
    return this.#child?.pid;
  }

  get hasEnded() {
    return this.#child === undefined || this.#child.exitCode !== null || this.#child.signalCode;
  }

  /** Starts a process; `bootstrap` is true only for the first one. */
  start() {
    writeFileSync(
      this.#file,
      JSON.stringify({
        node: this.node,
        zone: this.zone,
        processorShare: 0.675,
        processorSpeed: 1,
        memoryMb: 350,
        firstStart: this.#firstStart,
        callers: `127.0.0.1:${this.callers}`,
        readiness: `127.0.0.1:${this.readiness}`,
        peers: `127.0.0.1:${this.peers}`,
        seeds: [],
        logLevel: 'info',
        ...this.settings,
      }),
    );
    this.#firstStart = false;
    const { PATH, HOME, LANG } = process.env;
    this.#child = spawn(process.execPath, runArguments(), {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH, HOME, LANG, CROSSROAD_BOOT: this.#file },
    });
    const record = (chunk) => {
      this.log += chunk.toString();
    };
    this.#child.stdout.on('data', record);
    this.#child.stderr.on('data', record);
  }

  async untilReady() {
    for (let polls = 0; polls < READY_POLLS; polls += 1) {
      const url = `http://127.0.0.1:${this.readiness}/v1/ready`;
      const answer = await fetch(url).catch(() => undefined);
      if (answer?.status === 200) {
        return;
      }
      if (this.hasEnded) {
        throw new Error(`${this.node} has ended: ${this.log}`);
      }
      await pause(POLL_MS);
    }
    throw new Error(`${this.node} is not ready`);
  }

  signal(name) {
    this.#child?.kill(name);
  }

  async kill() {
    if (!this.hasEnded) {
      const ended = once(this.#child, 'exit');
      this.#child.kill('SIGKILL');
      await ended;
    }
  }
}
