/** One process started by a launch script (the rig, the scale run): signalled and waited for by its id. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';

/** Most characters of a process's output that are kept, the last ones. */
const OUTPUT_LIMIT = 16_384;

/** How a process ended. */
export interface ExitStatus {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** What differs from process to process. */
export interface RigProcessOptions {
  /** Flags of Node itself, before the script. */
  readonly runtimeFlags?: readonly string[];
  /** Most characters of output that are kept. */
  readonly outputLimit?: number;
  /** Is given all that the process writes. */
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

  /** The process's id; undefined when it could not be started. */
  get pid(): number | undefined {
    return this.child.pid;
  }

  /** The last lines the process wrote. */
  get output(): string {
    return this.kept;
  }

  /** Whether the process has not ended yet. */
  get runs(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Sends a signal to this process only. */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resolves when the process has ended and all it wrote has been read. */
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
