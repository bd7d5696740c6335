/** A child process of the benchmark. */
import { type ChildProcess, fork } from 'node:child_process';
import { resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { BenchCommand, BenchReply } from './bench-messages.js';

/** Longest wait for an answer, in milliseconds. */
const REPLY_TIMEOUT_MS = 60_000;

/** The modules that run as processes. */
export type BenchRole = 'node-process' | 'pool-process' | 'replica-process';

/** How a process is started. */
export interface BenchProcessOptions {
  readonly execArgv?: readonly string[];
  /** A build of another commit, to take the role's module from. */
  readonly build?: string;
}

const modulePath = (role: BenchRole, build: string | undefined): string =>
  build === undefined
    ? fileURLToPath(new URL(`./${role}.js`, import.meta.url))
    : resolve(build, 'bench/leg-cost', `${role}.js`);

/** Sends commands and waits for the answers. */
export class BenchProcess {
  private readonly child: ChildProcess;

  constructor(role: BenchRole, options: BenchProcessOptions = {}) {
    const path = modulePath(role, options.build);
    this.child = fork(path, [], { execArgv: [...(options.execArgv ?? [])] });
  }

  /** Sends a command; resolves with its answer. */
  request(command: BenchCommand): Promise<BenchReply> {
    return new Promise((settle, reject) => {
      const timer = setTimeout(
        () => reject(new Error(`no answer to ${command.type}`)),
        REPLY_TIMEOUT_MS,
      );
      this.child.once('message', (message) => {
        clearTimeout(timer);
        settle(message as BenchReply);
      });
      this.child.send(command);
    });
  }

  /** Starts what the command names; resolves with the ports it opened. */
  async start(command: BenchCommand): Promise<readonly number[]> {
    const answer = await this.request(command);
    return answer.type === 'ready' ? answer.ports : [];
  }

  /** Processor time used so far, in microseconds. */
  async readProcessorTime(): Promise<number> {
    const answer = await this.request({ type: 'read-processor-time' });
    return answer.type === 'processor-time' ? answer.microseconds : Number.NaN;
  }

  /** Ends the process. */
  end(): Promise<void> {
    return new Promise((settle) => {
      this.child.once('exit', () => settle());
      this.child.send({ type: 'end' });
    });
  }
}
