/** A child process of the benchmark. */
import { type ChildProcess, fork } from 'node:child_process';
import { resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { BenchCommand, BenchReply } from './bench-messages.js';

/** Timeout of a command, in milliseconds. */
const REPLY_TIMEOUT_MS = 60_000;

/** Names of the modules that run as child processes. */
export type BenchRole = 'node-process' | 'pool-process' | 'replica-process';

/** Options of a child process. */
export interface BenchProcessOptions {
  readonly execArgv?: readonly string[];
  /** Build output of another commit whose module is run; this build when absent. */
  readonly build?: string;
}

const modulePath = (role: BenchRole, build: string | undefined): string =>
  build === undefined
    ? fileURLToPath(new URL(`./${role}.js`, import.meta.url))
    : resolve(build, 'bench/leg-cost', `${role}.js`);

/** Sends commands to a child process and waits for its replies. */
export class BenchProcess {
  private readonly child: ChildProcess;

  constructor(role: BenchRole, options: BenchProcessOptions = {}) {
    const path = modulePath(role, options.build);
    this.child = fork(path, [], { execArgv: [...(options.execArgv ?? [])] });
  }

  /**
   * Sends a command and resolves with its reply.
   *
   * @throws Error when no reply arrives within `REPLY_TIMEOUT_MS`
   */
  request(command: BenchCommand): Promise<BenchReply> {
    return new Promise((settle, reject) => {
      const timer = setTimeout(
        () => reject(new Error(`the process did not reply to ${command.type} in time`)),
        REPLY_TIMEOUT_MS,
      );
      this.child.once('message', (message) => {
        clearTimeout(timer);
        settle(message as BenchReply);
      });
      this.child.send(command);
    });
  }

  /** Sends a start command; resolves with the ports that the process has opened. */
  async start(command: BenchCommand): Promise<readonly number[]> {
    const answer = await this.request(command);
    return answer.type === 'ready' ? answer.ports : [];
  }

  /** Reads the processor time that the process has used, in microseconds. */
  async readProcessorTime(): Promise<number> {
    const answer = await this.request({ type: 'read-processor-time' });
    return answer.type === 'processor-time' ? answer.microseconds : Number.NaN;
  }

  /** Ends the process; resolves when it has exited. */
  end(): Promise<void> {
    return new Promise((settle) => {
      this.child.once('exit', () => settle());
      this.child.send({ type: 'end' });
    });
  }
}
