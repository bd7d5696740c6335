/** Injects the faults of a schedule at their times, from outside of the gateways. */
import { setTimeout as pause } from 'node:timers/promises';
import { match } from 'ts-pattern';
import type { Random } from '../../src/core/random.js';
import type { GatewaySettings } from '../../src/gateway/settings.js';
import type { Scope } from '../model/observations.js';
import type { Fault, LinkFault, ScheduledFault } from '../model/schedule.js';
import { beginDisturbance } from '../world/recorder.js';
import type { LoopbackLink } from '../world/loopback-link.js';
import type { SoakWorld } from '../world/soak-world.js';
import { StoreFaults } from './store-faults.js';

/** Gap between two planned stops, in milliseconds, from the start of the new process. */
const STOP_GAP_MS = 2_000;

/** A fault that was injected, with its actual times. */
export interface ExecutedFault {
  readonly fault: Fault;
  readonly from: number;
  /** Undefined while it is going on. */
  to: number | undefined;
}

/** Amount by which each reload raises the capacity of a gateway. */
const CAPACITY_STEP = 0.05;

const changeSettings = (settings: GatewaySettings): GatewaySettings => ({
  ...settings,
  capacity: Math.round((settings.capacity + CAPACITY_STEP) * 100) / 100,
});

const gatewayScopes = (gateways: readonly number[]): readonly Scope[] =>
  gateways.map((gateway) => ({ type: 'gateway', gateway }));

/** Runs schedules of faults. */
export class FaultRunner {
  readonly executed: ExecutedFault[] = [];
  private readonly storeFaults: StoreFaults;

  constructor(
    private readonly world: SoakWorld,
    private readonly random: Random,
  ) {
    this.storeFaults = new StoreFaults(world, random);
  }

  /** Injects the faults of a schedule; resolves when all are over. */
  async runSchedule(schedule: readonly ScheduledFault[]): Promise<void> {
    const startedAt = performance.now();
    await Promise.all(
      schedule.map(async ({ atMs, fault }) => {
        await pause(Math.max(0, startedAt + atMs - performance.now()));
        const executed: ExecutedFault = { fault, from: performance.now(), to: undefined };
        this.executed.push(executed);
        await this.execute(fault);
        executed.to = performance.now();
      }),
    );
  }

  private execute(fault: Fault): Promise<void> {
    const { replicas, gateways } = this.world;
    return match(fault)
      .with({ type: 'stop-in-turn' }, (stop) => this.stopInTurn(stop.gateways))
      .with({ type: 'kill' }, (kill) => this.kill(kill.gateways, kill.downMs))
      .with({ type: 'pause' }, ({ gateway, forMs }) => gateways[gateway]?.pauseFor(forMs))
      .with({ type: 'reload' }, (reload) => this.reload(reload.gateways))
      .with({ type: 'configure' }, ({ count, gapMs }) => this.configure(count, gapMs))
      .with({ type: 'tenant-change' }, ({ change }) => this.world.operator.changeTenants(change))
      .with({ type: 'tenant-load' }, ({ load, forMs }) =>
        this.world.tenantCallers.load(gateways, load, forMs),
      )
      .with({ type: 'store-link' }, (link) => this.disturbLinks(link, this.world.storeLinks))
      .with({ type: 'peer-link' }, (link) => this.disturbLinks(link, this.world.peerLinks))
      .with({ type: 'replica-leaves', how: 'drain' }, ({ service }) => replicas.drain(service))
      .with({ type: 'replica-leaves', how: 'vanish' }, ({ service }) => replicas.vanish(service))
      .with({ type: 'replica-leaves' }, ({ service }) =>
        this.disturbService(service, 'crash', () => replicas.crash(service)),
      )
      .with({ type: 'replica-loses-answers' }, ({ service, forMs }) =>
        this.disturbService(service, 'loses answers', () => replicas.loseAnswers(service, forMs)),
      )
      .with({ type: 'replica-sends-without-end' }, ({ service, form, forMs }) =>
        this.disturbService(service, 'sends without end', () =>
          replicas.sendWithoutEnd(service, form, forMs),
        ),
      )
      .with({ type: 'replica-breaks-off' }, ({ service, form, forMs }) =>
        this.disturbService(service, 'breaks off answers', () =>
          replicas.breakOff(service, form, forMs),
        ),
      )
      .with({ type: 'service-fails' }, ({ service, forMs }) =>
        this.disturbService(service, 'fails', () => replicas.failService(service, forMs)),
      )
      .with({ type: 'replica-restarts' }, ({ service, downMs }) =>
        this.disturbService(service, 'restarts', () => replicas.restart(service, downMs)),
      )
      .with({ type: 'entry-spoilt' }, ({ service, forMs }) =>
        replicas.overwriteEntry(service, forMs, this.random),
      )
      .otherwise((storeFault) => this.storeFaults.execute(storeFault)) as Promise<void>;
  }

  private async stopInTurn(numbers: readonly number[]): Promise<void> {
    for (const number of numbers) {
      await this.world.gateways[number]?.stopAndRestart();
      await pause(STOP_GAP_MS);
    }
  }

  private async kill(numbers: readonly number[], downMs: number): Promise<void> {
    await Promise.all(numbers.map((number) => this.world.gateways[number]?.kill(downMs)));
  }

  private async reload(numbers: readonly number[]): Promise<void> {
    await Promise.all(numbers.map((number) => this.world.gateways[number]?.reload(changeSettings)));
  }

  private async configure(count: number, gapMs: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      this.world.operator.configure();
      await pause(gapMs);
    }
  }

  private async disturbLinks(
    { type, gateways, trouble, forMs }: LinkFault<'store-link' | 'peer-link'>,
    links: readonly LoopbackLink[],
  ): Promise<void> {
    const scopes = gatewayScopes(gateways);
    const end = beginDisturbance(this.world.observations, scopes, `${type} ${trouble}`);
    const chosen = gateways.flatMap((number) => links[number] ?? []);
    await Promise.all(chosen.map((link) => link.failFor(trouble, forMs)));
    end();
  }

  private async disturbService(
    service: string,
    what: string,
    work: () => Promise<void>,
  ): Promise<void> {
    const scope = { type: 'service', service } as const;
    const end = beginDisturbance(this.world.observations, [scope], what);
    await work();
    end();
  }
}
