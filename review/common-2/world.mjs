/* global clearTimeout, performance, setTimeout */
/** A small deployment on loopback addresses: a store, replicas and gateways. It ends everything that it started. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { BOUNDS, freePorts, Gateway, isBuilt } from './gateway.mjs';
import { Replica } from './replica.mjs';
import { Store } from './store.mjs';

const BROKEN = 1;
const HELD = 0;
const NOT_RUN = 2;
const MAX_RUN_MS = 110_000;

/** Limits on what callers may send, as in the examples of `fleetbench wire`. */
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 262_144,
  header_timeout_ms: 5_000,
  idle_timeout_ms: 20_000,
};

/** Whether the case is to be run with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The parts of one run. */
export class World {
  #lines = [];
  #startedAt = performance.now();
  folder = mkdtempSync(join(tmpdir(), 'crossroad-review-'));
  store = new Store();
  gateways = [];
  replicas = [];

  /** Writes a line to the record, with the time since the start. */
  note(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
    this.#lines.push(`${seconds.padStart(8)} ${text}`);
  }

  async startReplica(options) {
    const { onEvent, ...rest } = options;
    const replica = new Replica({
      ...rest,
      store: this.store,
      onEvent: (event) => {
        const at = performance.now();
        this.note(`${event.replica}: ${event.id} ${event.what}`);
        onEvent?.({ ...event, at });
      },
    });
    this.replicas.push(replica);
    return replica.start();
  }

  /** The operator writes a configuration. */
  configure(version, { routes, services, tenants }) {
    const limits = LIMITS;
    const withTenants = tenants === undefined ? {} : { tenants };
    this.store.put('config', 'main', { version, routes, services, limits, ...withTenants });
    this.note(`the store acknowledged configuration ${version}`);
  }

  /**
   * Adds a gateway, which is not started yet.
   *
   * @param settings - in addition to, or in place of, those that all gateways have
   */
  async addGateway(zone, { bounds = {}, ...settings } = {}) {
    const gateway = new Gateway({
      node: `front-${zone}-${this.gateways.length + 1}`,
      zone,
      ports: await freePorts(3),
      folder: this.folder,
      settings: {
        zoneRegions: { a: 'region', b: 'region', c: 'region' },
        store: `127.0.0.1:${this.store.port}`,
        bounds: { ...BOUNDS, ...bounds },
        ...settings,
      },
    });
    this.gateways.push(gateway);
    return gateway;
  }

  /** Starts gateways at the same time and waits until all are ready. */
  async startAll(gateways) {
    gateways.forEach((gateway) => gateway.start());
    await Promise.all(gateways.map((gateway) => gateway.untilReady()));
    this.note(`ready: ${gateways.map(({ node }) => node).join(', ')}`);
  }

  /** Starts one gateway in each of the given zones. */
  async startGateways(zones, settings) {
    for (const zone of zones) {
      await this.addGateway(zone, settings);
    }
    await this.startAll(this.gateways);
  }

  async close(recordFile) {
    await Promise.all(this.gateways.map((gateway) => gateway.kill()));
    this.replicas.forEach((replica) => replica.stop());
    this.store.stop();
    writeFileSync(recordFile, `${this.#lines.join('\n')}\n`);
    if (process.env.KEEP_LOGS !== undefined) {
      this.gateways.forEach(({ logFile, log }) => writeFileSync(logFile, log));
    } else {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }
}

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param play - gets the world and returns the violations of the rule
 * @param recordFile - where the record is written
 */
export const runCase = async (play, recordFile) => {
  if (!isBuilt()) {
    process.stderr.write('target/gateway.cjs is missing: run the build of the deploy file\n');
    process.exit(NOT_RUN);
  }
  const world = new World();
  const stopAll = () => world.gateways.forEach((gateway) => gateway.signal('SIGKILL'));
  process.once('exit', stopAll);
  ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((name) =>
    process.once(name, () => process.exit(NOT_RUN)),
  );
  const guard = setTimeout(() => process.exit(NOT_RUN), MAX_RUN_MS);
  let exitCode = NOT_RUN;
  try {
    await world.store.start();
    const violations = await play(world);
    violations.forEach((violation) => world.note(`VIOLATION: ${violation}`));
    world.note(violations.length === 0 ? 'the rule held' : 'the rule was broken');
    process.stdout.write(
      violations.length === 0 ? 'the rule held\n' : `${violations.join('\n')}\n`,
    );
    exitCode = violations.length === 0 ? HELD : BROKEN;
  } catch (error) {
    world.note(`the case could not run: ${error.stack}`);
    process.stderr.write(`${error.stack}\n`);
  }
  await world.close(recordFile);
  clearTimeout(guard);
  process.exit(exitCode);
};
