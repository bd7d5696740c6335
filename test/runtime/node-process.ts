/** A node in a separate process, started through the command line. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { OWN_ADDRESS } from '../support/own-address.js';
import { PEER_SECRET } from './node-fixture.js';

/** Exit status and standard error of a process. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  readonly errors: string;
}

/** Options of a node process. */
export interface NodeProcessOptions {
  readonly main: string;
  readonly platform: string;
  readonly seeds?: readonly number[];
  /** The port for peers; chosen by the kernel if absent. */
  readonly peerPort?: number;
}

/** Runs a command and waits for its exit. */
export const runCommand = async (main: string, args: readonly string[]): Promise<ProcessEnd> => {
  const child = spawn(process.execPath, [main, ...args], { stdio: ['ignore', 'ignore', 'pipe'] });
  let errors = '';
  child.stderr.on('data', (chunk: Buffer) => (errors += chunk.toString()));
  const [code, signal] = (await once(child, 'close')) as [number | null, NodeJS.Signals | null];
  return { code, signal, errors };
};

const argumentsOf = (name: string, options: NodeProcessOptions): string[] => [
  options.main,
  'node',
  ...['--node', name, '--zone', 'bole', '--region', 'addis'],
  ...['--caller', '127.0.0.1:0', '--operator', '127.0.0.1:0'],
  // A restarted node reuses the port of its predecessor.
  ...['--peer', `${OWN_ADDRESS}:${options.peerPort ?? 0}`],
  ...['--platform', options.platform],
  ...(options.seeds ?? []).flatMap((port) => ['--seeds', `${OWN_ADDRESS}:${port}`]),
];

const PORTS_PATTERN = /listens on ports (\d+), (\d+), (\d+)/;

/** A started node process. */
export class NodeProcess {
  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    readonly callerPort: number,
    readonly peerPort: number,
    private readonly operatorPort: number,
  ) {}

  /** Starts a node; resolves when its ports are open, rejects if it exits before. */
  static async start(name: string, options: NodeProcessOptions): Promise<NodeProcess> {
    const child = spawn(process.execPath, argumentsOf(name, options), {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, CROSSROAD_PEER_SECRET: PEER_SECRET },
    });
    let errors = '';
    child.stderr.on('data', (chunk: Buffer) => {
      errors += chunk.toString();
      process.stderr.write(chunk);
    });
    const ports = await new Promise<number[]>((resolve, reject) => {
      let printed = '';
      child.stdout.on('data', (chunk: Buffer) => {
        printed += chunk.toString();
        const found = PORTS_PATTERN.exec(printed);
        if (found !== null) {
          resolve(found.slice(1).map(Number));
        }
      });
      child.once('close', (code, signal) => {
        const end = `code ${code}, signal ${signal}`;
        reject(new Error(`${name} exited at its start (${end}): ${printed}${errors}`));
      });
    });
    const [caller = 0, peer = 0, operator = 0] = ports;
    return new NodeProcess(name, child, caller, peer, operator);
  }

  /** Base URL of the caller port. */
  get callerUrl(): string {
    return `http://127.0.0.1:${this.callerPort}`;
  }

  /** Whether the node is ready to serve queries. */
  async isReady(): Promise<boolean> {
    const response = await fetch(`http://127.0.0.1:${this.operatorPort}/health/ready`);
    await response.text();
    return response.status === 200;
  }

  /** Reads the value of a metric; `labels` as in the exposition format. */
  async readMetric(name: string, labels = ''): Promise<number> {
    const response = await fetch(`http://127.0.0.1:${this.operatorPort}/metrics`);
    const text = await response.text();
    const line = text.split('\n').find((candidate) => candidate.startsWith(`${name}${labels} `));
    return Number(line?.split(' ')[1]);
  }

  /** Sends a signal without waiting. */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Sends a signal and waits for the exit. */
  async end(signal: NodeJS.Signals): Promise<Omit<ProcessEnd, 'errors'>> {
    if (this.child.exitCode !== null || this.child.signalCode !== null) {
      return { code: this.child.exitCode, signal: this.child.signalCode };
    }
    const ended = once(this.child, 'exit');
    this.child.kill(signal);
    const [code, endSignal] = (await ended) as [number | null, NodeJS.Signals | null];
    return { code, signal: endSignal };
  }
}
