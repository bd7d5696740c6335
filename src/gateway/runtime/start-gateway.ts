/** Starts a gateway: creates its parts, opens its ports and runs the reducer. */
import { match } from 'ts-pattern';
import type {
  AbortAttempt,
  AnswerCaller,
  AnswerSubquery,
  GatewayEffect,
  SendAttempt,
  SetRequestTimer,
  WriteLog,
  WriteTrace,
} from '../effect.js';
import type { GatewayProtocol } from '../protocol/protocol.js';
import { listMetrics } from '../metrics/gateway-metrics.js';
import type { GatewaySettings } from '../settings.js';
import { createGatewayState, type GatewayState } from '../state.js';
import type { StoreCall } from '../store/collection.js';
import { AnswerMemory } from './answer-memory.js';
import { CallerPort } from './caller-port.js';
import { CallerRequests } from './caller-requests.js';
import type { EarlyPort } from './early-port.js';
import { CLOCK_READING_INTERVAL_MS, ElapsedClock, type ProcessPause } from './elapsed-clock.js';
import { GatewayLoop } from './gateway-loop.js';
import { GatewayTimers } from './gateway-timers.js';
import { MetricsPort } from './metrics-port.js';
import { PeerClient } from './peers/peer-client.js';
import { PeerPort } from './peers/peer-port.js';
import { ReadinessPort } from './readiness-port.js';
import { ReplicaClient } from './replica-client.js';
import { StoreClient } from './store-client.js';

/** Exclusive upper bound of the random seed. */
const SEED_RANGE = 0x7fff_ffff;

/** Share of the process's memory that the answers being read may use, and that memory if no limit is set, in MB. */
const ANSWER_MEMORY_SHARE = 0.125;
const DEFAULT_MEMORY_MB = 512;

const BYTES_PER_MB = 1_000_000;

const answerMemoryBytes = ({ memoryMb = DEFAULT_MEMORY_MB }: GatewaySettings): number =>
  memoryMb * BYTES_PER_MB * ANSWER_MEMORY_SHARE;

/** Writes the log. */
export interface GatewayLog {
  write(line: Omit<WriteLog, 'type'>): void;
  writeTrace(trace: WriteTrace): void;
}

/** Effects that every request causes. */
type FrequentEffect = SendAttempt | AbortAttempt | AnswerCaller | SetRequestTimer;

/** A running gateway. */
export interface RunningGateway {
  readonly state: GatewayState;
  /** Resolves when the process may end. */
  readonly ended: Promise<void>;
  /**
   * Finishes the requests in progress, then ends.
   *
   * @param signalledMsAgo - time since the stop was requested, in milliseconds
   */
  stop(signalledMsAgo?: number): void;
  /** Ends at once. */
  kill(): void;
  /** Applies settings that were read again. */
  reload(settings: GatewaySettings): void;
}

/** The parts of one gateway. */
class GatewayProcess implements RunningGateway {
  readonly ended: Promise<void>;
  readonly state: GatewayState;
  private readonly clock = new ElapsedClock({ onPause: (pause) => this.handlePause(pause) });
  private clockTimer: NodeJS.Timeout | undefined;
  private readonly loop: GatewayLoop;
  private readonly timers: GatewayTimers;
  private readonly requests: CallerRequests;
  private readonly callers: CallerPort;
  private readonly readiness: ReadinessPort;
  private readonly metrics: MetricsPort;
  private readonly replicas: ReplicaClient;
  private readonly store: StoreClient;
  private readonly peerClient: PeerClient;
  private readonly peerPort: PeerPort;
  private resolveEnded: () => void = () => undefined;

  constructor(
    settings: GatewaySettings,
    protocol: GatewayProtocol,
    private readonly log: GatewayLog,
    private readonly earlyPort: EarlyPort | undefined,
  ) {
    this.state = createGatewayState(settings, Math.floor(Math.random() * SEED_RANGE));
    this.ended = new Promise((resolve) => {
      this.resolveEnded = resolve;
    });
    const { clock } = this;
    const sink = new GatewayLoop(this.state, (effect) => this.executeEffect(effect));
    const requests = new CallerRequests(protocol.headers);
    this.loop = sink;
    this.requests = requests;
    this.timers = new GatewayTimers(clock, sink, () => this.checkStop());
    this.callers = new CallerPort({ protocol, requests, clock, sink });
    this.readiness = new ReadinessPort(protocol.readinessPath);
    this.metrics = new MetricsPort(() =>
      listMetrics(
        this.state,
        () => clock.now(),
        () => process.memoryUsage.rss(),
      ),
    );
    const memory = new AnswerMemory(answerMemoryBytes(settings));
    this.replicas = new ReplicaClient({ protocol, requests, clock, sink, memory });
    this.peerClient = new PeerClient({ requests, clock, sink, node: settings.node });
    this.peerPort = new PeerPort({ requests, clock, sink });
    this.store = new StoreClient({
      address: settings.store,
      format: protocol.store,
      eraHeader: protocol.headers.storeEra,
      clock,
      sink,
    });
  }

  async start(): Promise<void> {
    const { settings } = this.state;
    await Promise.all([
      this.callers.listen(settings.callers, this.earlyPort),
      this.readiness.listen(settings.readiness),
      this.peerPort.listen(settings.peers),
      ...(settings.metrics === undefined ? [] : [this.metrics.listen(settings.metrics)]),
    ]);
    this.clockTimer = setInterval(() => this.clock.now(), CLOCK_READING_INTERVAL_MS).unref();
    this.loop.emit({ type: 'started', at: this.clock.now() });
  }

  stop(signalledMsAgo = 0): void {
    this.loop.emit({ type: 'stop-requested', at: this.clock.now(), signalledMsAgo });
  }

  kill(): void {
    this.end();
  }

  reload(settings: GatewaySettings): void {
    this.loop.emit({ type: 'settings-reloaded', at: this.clock.now(), settings });
  }

  /** Handles a process pause. Node's timers do not count a suspension, so they are set again. */
  private handlePause(pause: ProcessPause): void {
    this.timers.refresh();
    this.loop.emit({ type: 'stood-still', at: this.clock.now(), ...pause });
  }

  /**
   * Checks the progress of a stop after the sockets have been read: a process that was not scheduled for a while has not read
   * yet what callers sent meanwhile.
   */
  private checkStop(): void {
    setImmediate(() => {
      const { openExchanges, listedExchanges } = this.callers;
      this.loop.emit({ type: 'stop-due', at: this.clock.now(), openExchanges, listedExchanges });
    });
  }

  private executeEffect(effect: GatewayEffect): void {
    switch (effect.type) {
      case 'send-attempt':
        return this.replicas.send(effect);
      case 'abort-attempt':
        return this.replicas.abort(effect.attempt, effect.withinMs);
      case 'answer-caller':
        return this.answerCaller(effect);
      case 'set-request-timer':
        return this.timers.set(effect.call, effect.at);
      default:
        this.executeRareEffect(effect);
    }
  }

  /** Executes effects that few requests or none cause. */
  private executeRareEffect(effect: Exclude<GatewayEffect, FrequentEffect>): void {
    match(effect)
      .with({ type: 'discard-call' }, ({ call }) => {
        this.timers.cancel(call);
        this.callers.discard(call);
        this.peerPort.discard(call);
      })
      .with({ type: 'set-caller' }, ({ call, tenant }) => this.requests.setCaller(call, tenant))
      .with({ type: 'send-peer-request' }, (send) => this.peerClient.sendRequest(send))
      .with({ type: 'answer-peer' }, (answer) => this.peerPort.answerRequest(answer))
      .with({ type: 'set-key-confirmation-timer' }, ({ at }) =>
        this.timers.set('key-confirmation', at),
      )
      .with({ type: 'set-quotas-timer' }, ({ at }) => this.timers.set('quotas', at))
      .with({ type: 'set-scheduling-timer' }, ({ at }) => this.timers.set('scheduling', at))
      .with({ type: 'send-subquery' }, (send) => this.peerClient.send(send))
      .with({ type: 'cancel-subquery' }, (cancel) => this.peerClient.cancel(cancel))
      .with({ type: 'answer-subquery' }, (answer) => this.answerSubquery(answer))
      .with({ type: 'acknowledge-subquery' }, ({ call }) => this.peerPort.acknowledge(call))
      .with({ type: 'refuse-subquery' }, ({ call }) => this.peerPort.refuse(call))
      .with({ type: 'open-peer' }, ({ peer }) => this.peerClient.preconnect(peer))
      .with({ type: 'check-peer' }, ({ peer }) => this.peerClient.check(peer))
      .with({ type: 'announce-stop' }, () => this.peerPort.announceStop())
      .with({ type: 'recall-attempt' }, (recall) => this.replicas.recall(recall))
      .with({ type: 'open-connection' }, (open) => this.replicas.preconnect(open))
      .with({ type: 'check-replica' }, (check) => this.replicas.check(check))
      .with({ type: 'watch-replica' }, (watch) => this.replicas.watch(watch))
      .with({ type: 'send-crash-updates' }, (update) => this.peerClient.sendCrashUpdates(update))
      .with({ type: 'set-crash-update-timer' }, ({ at }) => this.timers.set('crash-updates', at))
      .with({ type: 'close-replica' }, ({ replica }) => this.replicas.close(replica))
      .with({ type: 'call-store' }, ({ call }) => this.callStore(call))
      .with({ type: 'set-collection-timer' }, ({ collection, at }) =>
        this.timers.set(collection, at),
      )
      .with({ type: 'set-probe-timer' }, ({ at }) => this.timers.set('probe', at))
      .with({ type: 'abort-store-call' }, ({ collection }) => {
        this.timers.cancel(collection);
        this.store.abortCall(collection);
      })
      .with({ type: 'set-registration-timer' }, ({ at }) => this.timers.set('registration', at))
      .with({ type: 'set-reading-timer' }, ({ at }) => this.timers.set('reading', at))
      .with({ type: 'follow-reader' }, (follow) => this.peerClient.follow(follow))
      .with({ type: 'unfollow-reader' }, ({ reader }) => this.peerClient.unfollow(reader))
      .with({ type: 'send-reader-update' }, (update) => this.peerPort.sendUpdate(update))
      .with({ type: 'set-stop-timer' }, ({ at }) => this.timers.set('stop', at))
      .with({ type: 'set-readiness' }, ({ ready, servesPeers = ready }) => {
        this.readiness.setReady(ready);
        this.peerPort.setServing(servesPeers);
      })
      .with({ type: 'apply-limits' }, ({ limits }) => this.callers.applyLimits(limits))
      .with({ type: 'close-caller-port' }, () => this.callers.closePort())
      .with({ type: 'refuse-incomplete' }, ({ refusal }) => this.callers.refuseIncomplete(refusal))
      .with({ type: 'end-process' }, () => this.end())
      .with({ type: 'write-log' }, (line) => this.log.write(line))
      .with({ type: 'write-trace' }, (trace) => this.log.writeTrace(trace))
      .exhaustive();
  }

  private answerCaller(effect: AnswerCaller): void {
    this.timers.cancel(effect.call);
    this.callers.answer(effect);
    const { handover } = effect;
    if (handover !== undefined) {
      this.loop.emit({ type: 'answer-sent', at: this.clock.now(), handover });
    }
  }

  private callStore(call: StoreCall): void {
    this.state.counters.storeCalls.add(call.type);
    this.store.call(call);
  }

  private answerSubquery(answer: AnswerSubquery): void {
    if (answer.part.isFinal) {
      this.timers.cancel(answer.call);
    }
    this.peerPort.answer(answer);
  }

  private end(): void {
    this.loop.halt();
    clearInterval(this.clockTimer);
    this.timers.close();
    this.callers.destroy();
    this.readiness.close();
    this.metrics.close();
    this.peerClient.destroy();
    this.peerPort.destroy();
    this.replicas.destroy();
    this.store.destroy();
    this.resolveEnded();
  }
}

/**
 * Starts a gateway.
 *
 * @param earlyPort - the callers' port, if it was opened before
 * @throws if a port cannot be opened.
 */
export const startGateway = async (
  settings: GatewaySettings,
  protocol: GatewayProtocol,
  log: GatewayLog,
  earlyPort?: EarlyPort,
): Promise<RunningGateway> => {
  const gateway = new GatewayProcess(settings, protocol, log, earlyPort);
  try {
    await gateway.start();
  } catch (error) {
    gateway.kill();
    throw error;
  }
  return gateway;
};
