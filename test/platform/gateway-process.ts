/** Runs gateways as processes with the flags of the deployment. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import type { GatewaySettings } from '../../src/gateway/settings.js';
import { SETTINGS_VARIABLE, settingsFileOf } from './settings-file.js';

/** Memory of a gateway on the users' machines, in MB. */
const MEMORY_MB = 350;

/** Polls of the readiness of a process that starts, and the pause between two of them in milliseconds. */
const MAX_POLLS = 400;
const POLL_MS = 20;

const readFlags = async (): Promise<readonly string[]> => {
  const deployment = await readFile('deploy/system.toml', 'utf8');
  return /^run = "node (.*) target\/gateway\.cjs"$/m.exec(deployment)?.[1]?.split(' ') ?? [];
};

/** A gateway that runs as a process. */
export class GatewayProcess {
  /** Standard output and standard error so far. */
  output = '';

  private constructor(
    private readonly child: ChildProcess,
    private readonly folder: string,
    readonly settings: GatewaySettings,
  ) {}

  /** Starts a process and waits until it is ready. */
  static async start(program: string, settings: GatewaySettings): Promise<GatewayProcess> {
    const folder = await mkdtemp(join(tmpdir(), 'crossroad-'));
    const file = join(folder, 'settings.json');
    await writeFile(file, settingsFileOf({ ...settings, memoryMb: MEMORY_MB }));
    const child = spawn(process.execPath, [...(await readFlags()), program], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, [SETTINGS_VARIABLE]: file },
    });
    const gateway = new GatewayProcess(child, folder, settings);
    const record = (chunk: Buffer): string => (gateway.output += chunk.toString());
    child.stdout.on('data', record);
    child.stderr.on('data', record);
    try {
      await gateway.untilReady();
    } catch (error) {
      await gateway.kill();
      throw error;
    }
    return gateway;
  }

  get hasEnded(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** Waits until a line with `event` has been logged. */
  async untilLogged(event: string): Promise<void> {
    for (let polls = 0; !this.output.includes(`"${event}"`); polls += 1) {
      if (polls >= MAX_POLLS || this.hasEnded) {
        throw new Error(`${event} is not logged: ${this.output}`);
      }
      await delay(POLL_MS);
    }
  }

  async kill(): Promise<void> {
    if (!this.hasEnded) {
      const ended = once(this.child, 'exit');
      this.child.kill('SIGKILL');
      await ended;
    }
    await rm(this.folder, { recursive: true, force: true });
  }

  private async untilReady(): Promise<void> {
    const { host, port } = this.settings.readiness;
    for (let polls = 0; polls < MAX_POLLS && !this.hasEnded; polls += 1) {
      const answer = await fetch(`http://${host}:${port}/v1/ready`).catch(() => undefined);
      if (answer?.status === 200) {
        return;
      }
      await delay(POLL_MS);
    }
    throw new Error(`the gateway is not ready: ${this.output}`);
  }
}
