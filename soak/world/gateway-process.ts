/** One gateway: its settings file and its successive processes. */
import { createWriteStream, type WriteStream } from 'node:fs';
import { rename, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { RigProcess } from '../../src/rig/child-process.js';
import { SETTINGS_VARIABLE, settingsFileOf } from '../../test/platform/settings-file.js';
import type { GatewaySettings } from '../../src/gateway/settings.js';
import type { Observations, PlannedStop } from '../model/observations.js';
import type { HostPort } from '../../src/settings/node-settings.js';
import { isReady } from './readiness.js';
import { isOpen } from './ports.js';
import { beginDisturbance, type EndDisturbance } from './recorder.js';
import { KEY_MARK } from './tenants.js';

/** Time between the exit of a process and the start of the next one, in milliseconds. */
const RESTART_MS = 300;

/** Interval and timeout of checks whether a port is open, in milliseconds. */
const POLL_INTERVAL_MS = 10;
const OPEN_TIMEOUT_MS = 5_000;

/** Replaces `file` atomically, so that no process reads an incomplete one. */
const replaceFile = async (file: string, text: string): Promise<void> => {
  const next = `${file}.next`;
  await writeFile(next, text);
  await rename(next, file);
};

/** Context shared by all gateways of a run. */
export interface GatewayContext {
  /** Path of the bundled gateway program. */
  readonly program: string;
  readonly runtimeFlags: readonly string[];
  readonly folder: string;
  readonly observations: Observations;
}

/** Starts, signals and stops the processes of one gateway. */
export class GatewayProcess {
  /** Incarnation of the current process, counted from 1; 0 before the first start. */
  incarnation = 0;
  private current: RigProcess | undefined;
  private readonly log: WriteStream;
  private readonly settingsFile: string;
  /** Settles when the last queued fault is over; faults of a gateway run one at a time. */
  private busy: Promise<void> = Promise.resolve();
  private closing = false;
  /** Resolves when the last settings have been written. */
  private settingsWritten: Promise<void> = Promise.resolve();
  /** Whether the settings file contains `peersAddress`. */
  private publishesPeersAddress = false;

  constructor(
    readonly number: number,
    private settings: GatewaySettings,
    private readonly context: GatewayContext,
    /**
     * Address for connections of peers, if it differs from the one on which the gateway listens. A process listens on
     * the address of its first settings and publishes that of its newest, which change once it is ready.
     */
    private readonly peersAddress?: HostPort,
  ) {
    this.settingsFile = join(context.folder, `${settings.node}.json`);
    process.once('exit', this.killNow);
    this.log = createWriteStream(join(context.folder, `${settings.node}.log`));
  }

  get name(): string {
    return this.settings.node;
  }

  /** Ports for callers and for the readiness checks of the load balancer. */
  get ports(): { readonly callers: number; readonly readiness: number } {
    const { callers, readiness } = this.settings;
    return { callers: callers.port, readiness: readiness.port };
  }

  /** Starts the first process. */
  start(): Promise<void> {
    return this.spawn();
  }

  /** Changes the settings file and signals the process to reload it; this is not recorded as a disturbance. */
  reload(change: (settings: GatewaySettings) => GatewaySettings): Promise<void> {
    return this.enqueue(async () => {
      await this.waitUntilOpen();
      this.settings = change(this.settings);
      await this.writeSettings();
      this.current?.signal('SIGHUP');
    });
  }

  /** Stops the process, kills it after the grace period, and starts the next one. */
  stopAndRestart(): Promise<void> {
    return this.enqueue(async () => {
      await this.waitUntilOpen();
      const end = this.recordDisturbance('stop', true);
      await this.stopProcess();
      await pause(RESTART_MS);
      await this.spawn();
      end();
    });
  }

  /** Kills the process and starts the next one after `downMs` milliseconds. */
  kill(downMs: number): Promise<void> {
    return this.enqueue(async () => {
      const end = this.recordDisturbance('kill');
      const process = this.current;
      this.current = undefined;
      process?.signal('SIGKILL');
      await process?.waitForExit();
      await pause(downMs);
      await this.spawn();
      end();
    });
  }

  /** Pauses the process for `forMs` milliseconds. */
  pauseFor(forMs: number): Promise<void> {
    return this.enqueue(async () => {
      const end = this.recordDisturbance('pause');
      this.current?.signal('SIGSTOP');
      await pause(forMs);
      this.current?.signal('SIGCONT');
      end();
    });
  }

  /** Kills the process for good. */
  async close(): Promise<void> {
    this.closing = true;
    process.off('exit', this.killNow);
    const last = this.current;
    this.current = undefined;
    last?.signal('SIGKILL');
    await last?.waitForExit();
    await new Promise<void>((resolve) => this.log.end(resolve));
  }

  private readonly killNow = (): void => this.current?.signal('SIGKILL');

  private recordDisturbance(what: string, planned = false): EndDisturbance {
    const scope = { type: 'gateway', gateway: this.number } as const;
    return beginDisturbance(this.context.observations, [scope], what, planned);
  }

  /**
   * Waits until the process accepts callers. Earlier, its signal handlers may not be installed; once it accepts
   * callers, it must handle SIGTERM and SIGHUP.
   */
  private async waitUntilOpen(): Promise<void> {
    const giveUpAt = performance.now() + OPEN_TIMEOUT_MS;
    while (!(await isOpen(this.ports.callers)) && performance.now() < giveUpAt) {
      await pause(POLL_INTERVAL_MS);
    }
  }

  private enqueue(work: () => Promise<void>): Promise<void> {
    this.busy = this.busy.then(() => (this.closing ? undefined : work()));
    return this.busy;
  }

  private async stopProcess(): Promise<void> {
    const process = this.current;
    if (process === undefined) {
      return;
    }
    this.current = undefined;
    const { stops } = this.context.observations;
    const { number: gateway, incarnation } = this;
    const { graceMs } = this.settings.bounds;
    const stop: PlannedStop = {
      gateway,
      incarnation,
      at: performance.now(),
      endedAt: undefined,
      exitCode: undefined,
    };
    stops.push(stop);
    process.signal('SIGTERM');
    const ended = process.waitForExit().then(({ code }) => ({ code, at: performance.now() }));
    const inTime = await Promise.race([ended, pause(graceMs)]);
    if (inTime === undefined) {
      process.signal('SIGKILL');
      await ended;
      return;
    }
    stop.endedAt = inTime.at;
    stop.exitCode = inTime.code;
  }

  private writeSettings(): Promise<void> {
    const peers =
      this.publishesPeersAddress && this.peersAddress !== undefined
        ? this.peersAddress
        : this.settings.peers;
    const text = settingsFileOf({ ...this.settings, peers });
    this.settingsWritten = this.settingsWritten.then(() => replaceFile(this.settingsFile, text));
    return this.settingsWritten;
  }

  private async publishPeersAddress(process: RigProcess): Promise<void> {
    while (this.current === process && !(await isReady(this.ports.readiness))) {
      await pause(POLL_INTERVAL_MS);
    }
    if (this.current === process) {
      this.publishesPeersAddress = true;
      await this.writeSettings();
      process.signal('SIGHUP');
    }
  }

  private async spawn(): Promise<void> {
    this.settings = { ...this.settings, firstStart: this.incarnation === 0 };
    this.publishesPeersAddress = false;
    await this.writeSettings();
    if (this.closing) {
      return;
    }
    this.incarnation += 1;
    const { program, runtimeFlags } = this.context;
    this.log.write(
      `${JSON.stringify({ time: Date.now(), soak: `process ${this.incarnation}` })}\n`,
    );
    const process = new RigProcess(this.name, program, [], this.environment(), {
      runtimeFlags,
      onOutput: (text) => this.recordOutput(text),
    });
    this.current = process;
    if (this.peersAddress !== undefined) {
      void this.publishPeersAddress(process);
    }
    void process.waitForExit().then(({ code, signal }) => {
      if (this.current === process) {
        this.handleUnexpectedExit(`code ${String(code)}, signal ${String(signal)}`);
        this.current = undefined;
      }
    });
  }

  private recordOutput(text: string): void {
    this.log.write(text);
    if (text.includes(KEY_MARK)) {
      const { loggedKeys } = this.context.observations;
      loggedKeys.push({ gateway: this.number, at: performance.now() });
    }
  }

  private environment(): Readonly<Record<string, string>> {
    return { [SETTINGS_VARIABLE]: this.settingsFile };
  }

  private handleUnexpectedExit(detail: string): void {
    const { unexpectedExits } = this.context.observations;
    unexpectedExits.push({ gateway: this.number, at: performance.now(), detail });
    void this.enqueue(async () => {
      await pause(RESTART_MS);
      await this.spawn();
    });
  }
}
