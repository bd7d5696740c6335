/** A child process of a launch script (the rig, the scale run), signalled and awaited by its process id. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';

/** Default limit of the output kept per process, in characters; the end of the output is kept. */
const OUTPUT_LIMIT = 16_384;

/** How a process ended. */
export interface ExitStatus {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Optional settings of a process. */
export interface RigProcessOptions {
  /** Command-line flags of Node.js, placed before the script. */
  readonly runtimeFlags?: readonly string[];
  /** Maximum number of characters of output that are kept; 16,384 when absent. */
  readonly outputLimit?: number;
  /** Called with each chunk of output. */
  readonly onOutput?: (text: string) => void;
}

/** A process that a launch script has started. */
export class RigProcess {
  private readonly child: ChildProcess;
  private kept = '';
  private readonly exited: Promise<ExitStatus>;

  /** Starts `script`, the path of an entry point, with `args`. */
  constructor(
    readonly name: string,
    script: string,
    args: readonly string[],
    environment: Readonly<Record<string, string>>,
    private readonly options: RigProcessOptions = {},
  ) {
    const { runtimeFlags = [] } = options;
    this.child = spawn(process.execPath, [...runtimeFlags, script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...environment },
    });
    this.child.stdout?.on('data', (chunk: Buffer) => this.appendOutput(chunk));
    this.child.stderr?.on('data', (chunk: Buffer) => this.appendOutput(chunk));
    this.exited = once(this.child, 'close').then(([code, signal]) => ({ code, signal }));
  }

  /** The process id; undefined if the process could not be started. */
  get pid(): number | undefined {
    return this.child.pid;
  }

  /** The end of the output of the process. */
  get output(): string {
    return this.kept;
  }

  /** Whether the process is still running. */
  get runs(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Sends a signal to this process, not to its process group. */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resolves when the process has ended and all its output has been read. */
  waitForExit(): Promise<ExitStatus> {
    return this.exited;
  }

  private appendOutput(chunk: Buffer): void {
    const { outputLimit = OUTPUT_LIMIT, onOutput } = this.options;
    const text = chunk.toString('utf8');
    this.kept = (this.kept + text).slice(-outputLimit);
    onOutput?.(text);
  }
}
