/** A node in a process of its own, started as an operator would start it. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { PEER_SECRET } from './node-fixture.js';

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  readonly errors: string;
}

/** What a node is started with besides its name. */
export interface NodeProcessOptions {
  readonly main: string;
  readonly platform: string;
  readonly seeds?: readonly number[];
  /** The port for peers; picked by the kernel unless given. */
  readonly peerPort?: number;
}

/** Runs the command line to its end. */
export const runCommand = async (main: string, args: readonly string[]): Promise<ProcessEnd> => {
  const child = spawn(process.execPath, [main, ...args], { stdio: ['ignore', 'ignore', 'pipe'] });
  let errors = '';
  child.stderr.on('data', (chunk: Buffer) => (errors += chunk.toString()));
  const [code, signal] = (await once(child, 'close')) as [number | null, NodeJS.Signals | null];
  return { code, signal, errors };
};

/**
 * Where the nodes of this process take peers. A successor comes back at the port of the one before, which nothing else may
 * have been given meanwhile: the address is this process's own, and no connection leaves from it.
 */
const PEER_ADDRESS = `127.1.${(process.pid >> 8) & 0xff}.${process.pid & 0xff}`;

const argumentsOf = (name: string, options: NodeProcessOptions): string[] => [
  options.main,
  'node',
  ...['--node', name, '--zone', 'bole', '--region', 'addis'],
  ...['--caller', '127.0.0.1:0', '--operator', '127.0.0.1:0'],
  ...['--peer', `${PEER_ADDRESS}:${options.peerPort ?? 0}`],
  ...['--platform', options.platform],
  ...(options.seeds ?? []).flatMap((port) => ['--seeds', `${PEER_ADDRESS}:${port}`]),
];

const PORTS_PATTERN = /listens on ports (\d+), (\d+), (\d+)/;

/** A running node process. */
export class NodeProcess {
  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    readonly callerPort: number,
    readonly peerPort: number,
    private readonly operatorPort: number,
  ) {}

  /** Starts a node; resolves when its ports are open. */
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
        reject(new Error(`${name} ended at its start (${end}): ${printed}${errors}`));
      });
    });
    const [caller = 0, peer = 0, operator = 0] = ports;
    return new NodeProcess(name, child, caller, peer, operator);
  }

  /** Base URL of the caller port. */
  get callerUrl(): string {
    return `http://127.0.0.1:${this.callerPort}`;
  }

  /** Whether the node takes queries. */
  async isReady(): Promise<boolean> {
    const response = await fetch(`http://127.0.0.1:${this.operatorPort}/health/ready`);
    await response.text();
    return response.status === 200;
  }

  /** The value of a metric without labels. */
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

  /** Sends a signal and waits for the end. */
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
