/** Starts a node: opens its ports, creates its components and runs the core. */
import { randomInt } from 'node:crypto';
import { identifier, type NodeId, type ZoneName } from '../core/identifiers.js';
import type { QueryPolicy } from '../core/query/query-policy.js';
import { type CoreOptions, type CoreState, createCoreState } from '../core/state.js';
import { createNodeMetrics } from '../metrics/node-metrics.js';
import { createOperatorApp } from '../operator/create-operator-app.js';
import type { NodeSettings } from '../settings/node-settings.js';
import { CallerServer } from './caller/caller-server.js';
import { CoreLoop, type StepObserver } from './core-loop.js';
import { CoreTimers } from './core-timers.js';
import { type EffectParts, runEffect } from './effect-runner.js';
import { EventRecorder } from './event-recorder.js';
import { HttpListener } from './http-listener.js';
import { createMonotonicClock, type MonotonicClock } from './monotonic-clock.js';
import { createLogWriter, type LogWriter } from './node-log.js';
import { OperatorEdits } from './operator/operator-edits.js';
import { Datagrams } from './peer/datagrams.js';
import { PeerLinks } from './peer/peer-links.js';
import { openPeerPort, type PeerPort } from './peer/peer-port.js';
import { SharedSecret } from './peer/shared-secret.js';
import { ReplicaClient } from './replica/replica-client.js';
import type { RunningNode } from './running-node.js';
import { StoreClient } from './store/store-client.js';

/** Upper bound (exclusive) of a random seed. */
const SEED_RANGE = 0x7fff_ffff;

/** Options for tests and embedding programs, in addition to the settings. */
export interface StartOptions {
  /** Replaces the log on standard output. */
  readonly log?: LogWriter;
  /** Overrides of the default query policy, for comparisons. */
  readonly policy?: Partial<QueryPolicy>;
  /** Observes each step of the core. */
  readonly observe?: StepObserver;
}

const coreOptions = (
  settings: NodeSettings,
  peerPort: number,
  { policy }: StartOptions,
): CoreOptions => ({
  self: {
    node: identifier<NodeId>(settings.node),
    zone: identifier<ZoneName>(settings.zone),
    region: settings.region,
    address: { host: settings.peer.host, port: peerPort },
    incarnation: Date.now(),
  },
  seeds: settings.seeds,
  seed: settings.seed ?? randomInt(SEED_RANGE),
  ...(policy && { policy }),
});

/** The components of a node, and how they are closed. */
class NodeProcess {
  readonly ended: Promise<void>;
  private readonly loop: CoreLoop;
  private readonly parts: EffectParts;
  private readonly clock: MonotonicClock = createMonotonicClock();
  private readonly metrics: ReturnType<typeof createNodeMetrics>;
  private readonly secret: SharedSecret;
  private listeners: readonly HttpListener[] = [];
  private finish: () => void = () => undefined;
  private finished = false;

  readonly state: CoreState;
  private readonly recorder: EventRecorder | undefined;

  constructor(
    private readonly settings: NodeSettings,
    options: CoreOptions,
    private readonly peerPort: PeerPort,
    private readonly log: LogWriter,
    observe: StepObserver | undefined,
  ) {
    const state = createCoreState(options);
    this.state = state;
    this.recorder =
      settings.record === undefined ? undefined : new EventRecorder(settings.record, options, log);
    this.ended = new Promise((resolve) => {
      this.finish = resolve;
    });
    this.secret = new SharedSecret(settings.peerSecret);
    this.metrics = createNodeMetrics(
      () => state,
      () => Date.now(),
    );
    this.loop = new CoreLoop(
      state,
      (effect) => runEffect(this.parts, effect),
      (event, effects) => {
        this.recorder?.record(event, effects);
        observe?.(event, effects);
      },
    );
    this.parts = this.createParts();
  }

  /** Opens the HTTP ports and starts the core. */
  async openPorts(): Promise<RunningNode['ports']> {
    const { caller, operator } = this.settings;
    const callerListener = await HttpListener.open(caller, this.parts.callers.fetch);
    this.listeners = [callerListener];
    const operatorListener = await HttpListener.open(operator, this.createOperatorFetch());
    this.listeners = [callerListener, operatorListener];
    this.peerPort.server.on('connection', (socket) => this.parts.links.accept(socket));
    this.loop.emit({ type: 'started', at: this.clock.now() });
    return {
      caller: callerListener.port,
      peer: this.peerPort.port,
      operator: operatorListener.port,
    };
  }

  stop(): Promise<void> {
    this.listeners.forEach((listener) => listener.closeConnectionsAfterAnswers());
    this.loop.emit({ type: 'stop-requested', at: this.clock.now() });
    return this.ended;
  }

  kill(): Promise<void> {
    this.loop.halt();
    this.parts.links.destroy();
    this.closeAll();
    return this.ended;
  }

  private createParts(): EffectParts {
    const { clock, loop: sink, log, state } = this;
    const { secret } = this;
    const { answers } = this.metrics;
    const { datagrams: socket } = this.peerPort;
    return {
      timers: new CoreTimers(clock, sink),
      callers: new CallerServer({ state, sink, clock, log, answers }),
      replicas: new ReplicaClient(clock, sink),
      links: new PeerLinks({ self: state.self.node, secret, sink, clock, log }),
      datagrams: new Datagrams({ socket, secret, sink, clock, log }),
      store: new StoreClient({ platform: this.settings.platform, sink, clock, log }),
      edits: new OperatorEdits(clock, sink),
      log,
      endProcess: () => void this.closeGracefully(),
    };
  }

  private createOperatorFetch(): (request: Request) => Response | Promise<Response> {
    const { metrics, state, parts, log, clock } = this;
    return createOperatorApp({
      state: () => state,
      submitEdit: (edit) => parts.edits.submit(edit),
      fetchObject: (name) => parts.store.fetchObject(name),
      now: () => Date.now(),
      monotonicNow: () => clock.now(),
      sessionSecret: this.secret.derive('operator sessions'),
      metrics,
      log: {
        info: (sentence) => log('info', 'operator', sentence),
        warn: (sentence) => log('warn', 'operator', sentence),
      },
    }).fetch;
  }

  /**
   * Requests that callers and peers sent before they learned of the stop are still answered, as not
   * run, while the ports close gracefully.
   */
  private async closeGracefully(): Promise<void> {
    await Promise.all(this.listeners.map((listener) => listener.drain()));
    if (!this.finished) {
      this.parts.links.end();
      this.loop.halt();
      this.closeAll();
    }
  }

  private closeAll(): void {
    if (this.finished) {
      return;
    }
    this.finished = true;
    this.parts.timers.close();
    this.parts.replicas.destroy();
    this.parts.store.destroy();
    this.parts.datagrams.close();
    this.peerPort.server.close();
    this.listeners.forEach((listener) => listener.destroy());
    void (this.recorder?.close() ?? Promise.resolve()).then(this.finish);
  }
}

/**
 * Starts a node; several may run in one process.
 *
 * @throws when a port cannot be opened.
 */
export const startNode = async (
  settings: NodeSettings,
  options: StartOptions = {},
): Promise<RunningNode> => {
  const log = options.log ?? createLogWriter(settings.logLevel);
  const peerPort = await openPeerPort(settings.peer);
  const node = new NodeProcess(
    settings,
    coreOptions(settings, peerPort.port, options),
    peerPort,
    log,
    options.observe,
  );
  try {
    const ports = await node.openPorts();
    log(
      'info',
      'node',
      `Node ${settings.node} listens on ports ${Object.values(ports).join(', ')}.`,
    );
    return {
      ports,
      state: node.state,
      ended: node.ended,
      stop: () => node.stop(),
      kill: () => node.kill(),
    };
  } catch (error) {
    await node.kill();
    throw error;
  }
};
