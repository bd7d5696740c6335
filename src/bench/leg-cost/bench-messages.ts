/** Messages between the benchmark and the processes it measures. */

/** What the benchmark tells a process. */
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
  /** Runs this many fan-outs; for a pool process. */
  | { readonly type: 'run'; readonly fanOuts: number }
  | { readonly type: 'read-processor-time' }
  | { readonly type: 'end' };

/** Which of undici's interfaces the bare pool uses. */
export type PoolApi = 'request' | 'dispatch';

/** What a process answers. */
export type BenchReply =
  | { readonly type: 'ready'; readonly ports: readonly number[] }
  | { readonly type: 'ran' }
  | { readonly type: 'processor-time'; readonly microseconds: number };

/** Commands that differ from one measured process to the other; all answer the remaining ones alike. */
export type WorkCommand = Exclude<BenchCommand, { type: 'read-processor-time' | 'end' }>;

/** The processor time this process has used, user and system, in microseconds. */
const readProcessorTime = (): number => {
  const { user, system } = process.cpuUsage();
  return user + system;
};

/** Answers the benchmark. */
export const sendReply = (message: BenchReply): void => {
  process.send?.(message);
};

/** Takes the benchmark's commands until it ends this process. */
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
