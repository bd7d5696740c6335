/** Messages between the benchmark and its child processes. */

/** Commands that the benchmark sends to a process. */
export type BenchCommand =
  | {
      readonly type: 'start-node';
      readonly platform: string;
    }
  | {
      readonly type: 'start-pool';
      readonly ports: readonly number[];
      readonly shards: number;
      readonly api: PoolApi;
    }
  | { readonly type: 'start-replicas'; readonly count: number }
  /** Runs this number of fan-outs; for a pool process. */
  | { readonly type: 'run'; readonly fanOuts: number }
  | { readonly type: 'read-processor-time' }
  | { readonly type: 'end' };

/** The undici method with which a bare pool sends requests. */
export type PoolApi = 'request' | 'dispatch';

/** Replies that a process sends to the benchmark. */
export type BenchReply =
  | { readonly type: 'ready'; readonly ports: readonly number[] }
  | { readonly type: 'ran' }
  | { readonly type: 'processor-time'; readonly microseconds: number };

/** Commands that are specific to a process; all processes handle the other commands in the same way. */
export type WorkCommand = Exclude<BenchCommand, { type: 'read-processor-time' | 'end' }>;

/** Returns the user and system processor time of this process, in microseconds. */
const readProcessorTime = (): number => {
  const { user, system } = process.cpuUsage();
  return user + system;
};

/** Sends a reply to the benchmark. */
export const sendReply = (message: BenchReply): void => {
  process.send?.(message);
};

/** Handles the benchmark's commands until it ends this process; passes specific ones to `handleWork`. */
export const handleCommands = (handleWork: (command: WorkCommand) => void): void => {
  process.on('message', (command: BenchCommand) => {
    switch (command.type) {
      case 'read-processor-time':
        sendReply({ type: 'processor-time', microseconds: readProcessorTime() });
        break;
      case 'end':
        process.exit(0);
        break;
      default:
        handleWork(command);
    }
  });
};
