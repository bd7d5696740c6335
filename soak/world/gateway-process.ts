/** One gateway: its settings file, and one process after the other that runs on it. */
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

/** Time between the end of a process and the start of the next one, in milliseconds. */
const RESTART_MS = 300;

/** How often a port is tried that is not open yet, and for how long, in milliseconds. */
const POLL_INTERVAL_MS = 10;
const OPEN_TIMEOUT_MS = 5_000;

/** Puts another file in the place of `file` at once: nobody reads half of it. */
const replaceFile = async (file: string, text: string): Promise<void> => {
  const next = `${file}.next`;
  await writeFile(next, text);
  await rename(next, file);
};

/** What all gateways of a run have in common. */
export interface GatewayContext {
  /** The bundled program. */
  readonly program: string;
  readonly runtimeFlags: readonly string[];
  readonly folder: string;
  readonly observations: Observations;
}

/** Starts, signals and ends the processes of one gateway. */
export class GatewayProcess {
  /** Which process this is, counted from 1. */
  incarnation = 0;
  private current: RigProcess | undefined;
  private readonly log: WriteStream;
  private readonly settingsFile: string;
  /** Faults take a gateway one after the other: each begins where the one before has ended. */
  private busy: Promise<void> = Promise.resolve();
  private closing = false;
  /** When the settings that were written last are in place. */
  private settingsWritten: Promise<void> = Promise.resolve();
  /** The settings file holds the address at which peers connect. */
  private publishesPeersAddress = false;

  constructor(
    readonly number: number,
    private settings: GatewaySettings,
    private readonly context: GatewayContext,
    /**
     * Where peers connect, if not to the port on which the gateway listens. A process listens where its first
     * settings say and tells others what its newest ones say: these are changed once it is ready.
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

  /** Ports on which callers and the load balancer ask. */
  get ports(): { readonly callers: number; readonly readiness: number } {
    const { callers, readiness } = this.settings;
    return { callers: callers.port, readiness: readiness.port };
  }

  /** Starts the first process. */
  start(): Promise<void> {
    return this.spawn();
  }

  /** Takes changed settings by a signal; this is no disturbance. */
  reload(change: (settings: GatewaySettings) => GatewaySettings): Promise<void> {
    return this.enqueue(async () => {
      await this.waitUntilOpen();
      this.settings = change(this.settings);
      await this.writeSettings();
      this.current?.signal('SIGHUP');
    });
  }

  /** Asks the process to end, ends it by force after the grace period, and starts the next one. */
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

  /** Ends the process by force and starts the next one after some time. */
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

  /** Stands the process still for a while. */
  pauseFor(forMs: number): Promise<void> {
    return this.enqueue(async () => {
      const end = this.recordDisturbance('pause');
      this.current?.signal('SIGSTOP');
      await pause(forMs);
      this.current?.signal('SIGCONT');
      end();
    });
  }

  /** Ends the process for good. */
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
   * Waits until the process takes callers. Before it runs no program can know of a signal; one that takes
   * callers must know of those that ask it to stop or to read its settings again.
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
      onOutput: (text) => this.log.write(text),
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
