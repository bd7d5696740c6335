/** A small deployment on loopback: the store, replicas, and gateways as processes of the deploy file's command. */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer, connect } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Replica } from './replica.mjs';
import { commandOf, fillTemplate } from './settings.mjs';
import { Store } from './store.mjs';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');

export const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 5000,
  ack_ms: 6000,
  catch_up_s: 4,
  drain_ms: 3000,
  grace_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 3000,
  rollback_slack_ms: 250,
  outer_ms: 15000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 58,
  recovery_s: 12,
};

export const LIMITS = {
  max_header_bytes: 16384,
  max_body_bytes: 262144,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15000,
};

export const HEARTBEAT_MS = 1200;

/** Time for stopping gateways to end before they are killed. */
const END_MS = 1_000;

/** Thrown when the case cannot run; the script ends with 2. */
export class CannotRun extends Error {}

const freePorts = async (host, count) => {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(servers.map((each) => new Promise((done) => each.listen(0, host, done))));
  const ports = servers.map((each) => each.address().port);
  await Promise.all(servers.map((each) => new Promise((done) => each.close(done))));
  return ports;
};

/** A gateway: its machine's address, its settings file and its process. */
export class Gateway {
  constructor(world, node, zone, ip, ports) {
    Object.assign(this, { world, node, zone, ip, ports });
    this.file = join(world.folder, `${node}.json`);
  }

  start(bootstrap) {
    const { front, ready, control, peers } = this.ports;
    const fields = {
      node: this.node,
      zone: this.zone,
      ip: this.ip,
      region: 'south-wales',
      zones: this.world.zones,
      port_range: [peers, peers + 15],
      seeds: this.world.seeds,
      bootstrap,
      heartbeat_ms: HEARTBEAT_MS,
      listen: {
        front: `${this.ip}:${front}`,
        ready: `${this.ip}:${ready}`,
        control: `${this.ip}:${control}`,
      },
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100 },
      bounds: { ...BOUNDS, ...this.world.bounds },
      platform: { address: this.world.storeAddress },
    };
    const template = join(ROOT, 'deploy/settings.template.json');
    writeFileSync(this.file, fillTemplate(template, fields));
    const [command, ...words] = commandOf(join(ROOT, 'deploy/system.toml'));
    const { PATH, HOME, LANG } = process.env;
    this.process = spawn(command, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, CROSSROAD_BOOT: this.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const keep = (chunk) => appendFileSync(join(this.world.folder, `${this.node}.log`), chunk);
    this.process.stdout.on('data', keep);
    this.process.stderr.on('data', keep);
    this.exited = new Promise((done) => {
      this.process.once('exit', (code, signal) => {
        this.world.record(`${this.node} ended: code ${code}, signal ${signal}`);
        done();
      });
    });
  }

  /** Stops the process as the platform does: SIGTERM, and SIGKILL after the grace period. */
  stopAsPlanned() {
    this.world.record(`SIGTERM to ${this.node}`);
    this.process.kill('SIGTERM');
    const timer = setTimeout(() => this.process.kill('SIGKILL'), BOUNDS.grace_s * 1_000);
    void this.exited.then(() => clearTimeout(timer));
  }

  isReady() {
    return new Promise((done) => {
      const { ip: host, ports } = this;
      const asked = get({ host, port: ports.ready, path: '/v1/ready', timeout: 900, agent: false });
      asked.on('response', (answer) => {
        answer.resume();
        done(answer.statusCode === 200);
      });
      asked.on('timeout', () => asked.destroy());
      asked.on('error', () => done(false));
    });
  }

  connect() {
    return connect({ host: this.ip, port: this.ports.front, noDelay: true });
  }
}

/** The deployment of one run. */
export class World {
  constructor(folder, { zones = { 'swansea-hall': 'south-wales' }, bounds = {} } = {}) {
    this.recordFile = join(folder, 'record.txt');
    this.folder = mkdtempSync(join(tmpdir(), 'crossroad-review-'));
    this.zones = zones;
    this.bounds = bounds;
    this.startedAt = performance.now();
    this.store = new Store();
    this.replicas = [];
    this.gateways = [];
    writeFileSync(this.recordFile, '');
  }

  get now() {
    return performance.now() - this.startedAt;
  }

  record(text) {
    appendFileSync(this.recordFile, `${(this.now / 1000).toFixed(3)} ${text}\n`);
  }

  async startStore() {
    this.storeAddress = `127.0.0.1:${await this.store.listen('127.0.0.1')}`;
  }

  configure(spec) {
    this.store.put('config', 'main', { limits: LIMITS, ...spec });
    this.record(`configuration version ${spec.version} acknowledged`);
  }

  async addReplica(options) {
    const replica = new Replica({
      host: '127.0.0.1',
      store: this.store,
      zone: Object.keys(this.zones)[0],
      heartbeatMs: HEARTBEAT_MS,
      ...options,
    });
    await replica.start();
    this.replicas.push(replica);
    return replica;
  }

  /** Starts gateways, each with an address of its own, as on machines of their own, and waits until all are ready. */
  async startGateways(count) {
    const zones = Object.keys(this.zones);
    const block = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const [front, ready, control, peers] = await freePorts(`${block}.1`, 4);
    const ips = Array.from({ length: count }, (_, index) => `${block}.${index + 1}`);
    this.seeds = ips.slice(0, 3).map((ip) => `${ip}:${control}`);
    this.gateways = ips.map((ip, index) => {
      const zone = zones[index % zones.length];
      const ports = { front, ready, control, peers };
      return new Gateway(this, `front-${zone}-${index + 1}`, zone, ip, ports);
    });
    this.gateways.forEach((gateway) => gateway.start(true));
    await this.until(15_000, async () => {
      const states = await Promise.all(this.gateways.map((gateway) => gateway.isReady()));
      return states.every(Boolean);
    });
    this.record(`${count} gateways ready`);
  }

  async until(forMs, check) {
    const giveUpAt = performance.now() + forMs;
    while (!(await check())) {
      if (performance.now() > giveUpAt) {
        throw new CannotRun('the deployment did not become ready');
      }
      await pause(100);
    }
  }

  async close() {
    await pause(END_MS);
    this.gateways.forEach((gateway) => gateway.process?.kill('SIGKILL'));
    await Promise.all(this.gateways.map((gateway) => gateway.exited));
    this.replicas.forEach((replica) => replica.stop());
    this.store.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Runs a case: ends with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. */
export const runCase = async (folder, options, play) => {
  const world = new World(folder, options);
  let exitCode = 2;
  try {
    await world.startStore();
    const broken = await play(world, process.env.TROUBLE !== '0');
    world.record(broken ? 'the rule was BROKEN' : 'the rule held');
    exitCode = broken ? 1 : 0;
  } catch (error) {
    world.record(`could not run: ${error.stack}`);
  }
  await world.close();
  process.exit(exitCode);
};
