/** Checks all invariants while a simulation runs. */
import type { StoreObject } from '../../catalog/store-object.js';
import { identifier, type NodeId, type ObjectName } from '../../core/identifiers.js';
import type { PromiseName } from '../../protocol/promise-name.js';
import type { RouteRow } from '../../table/route-row.js';
import type { CallRecord, EditCallRecord } from '../call-record.js';
import type { SimulationObserver, StepRecord } from '../observer.js';
import type { ArrivalRecord, RunRecord } from '../replica-record.js';
import type { Simulation } from '../simulation.js';
import {
  type Answered,
  checkAggregate,
  checkCoverage,
  checkOwnAnswer,
  checkSnapshot,
} from './answer-checks.js';
import { ConfigurationChecks } from './configuration-checks.js';
import { EditChecks } from './edit-checks.js';
import { LeavingChecks } from './leaving-checks.js';
import { RunChecks } from './run-checks.js';
import type { Violation } from './violation.js';

/** Maximum number of violations that are kept. */
const VIOLATION_LIMIT = 1_000;
/** Items per shard from the stand-in; answers with a smaller limit may omit contributing shards. */
const MAX_ITEMS_PER_SHARD = 3;

const isServedBy = (row: RouteRow, service: string): boolean =>
  row.services.some((pattern) =>
    pattern.endsWith('*') ? service.startsWith(pattern.slice(0, -1)) : service === pattern,
  );

/** Observes a simulation and collects the violations of its invariants. */
export class InvariantChecker implements SimulationObserver {
  readonly violations: Violation[] = [];
  private readonly runs: RunChecks;
  private readonly configuration: ConfigurationChecks;
  private readonly edits: EditChecks;
  private readonly leaving: LeavingChecks;
  private readonly requests = new Map<string, CallRecord>();
  private readonly rows = new Map<string, RouteRow>();

  constructor(private readonly simulation: Simulation) {
    const report = (invariant: PromiseName, detail: string): void => {
      this.report(invariant, detail);
    };
    this.runs = new RunChecks(report);
    this.configuration = new ConfigurationChecks(simulation, report);
    this.edits = new EditChecks(report);
    this.leaving = new LeavingChecks(simulation, report);
    simulation.observe(this);
  }

  /** Records a violation; violations beyond `VIOLATION_LIMIT` are dropped. */
  report(invariant: PromiseName, detail: string): void {
    if (this.violations.length < VIOLATION_LIMIT) {
      this.violations.push({ invariant, at: this.simulation.now, detail });
    }
  }

  stepped(step: StepRecord): void {
    this.configuration.handleStep(step);
  }

  objectWritten(object: StoreObject): void {
    this.configuration.handleWrite(object);
    this.edits.handleWrite(object);
    if (object.content.type === 'status') {
      this.leaving.handlePublishedStatus(object.content.status.replicas);
    }
    if (object.content.type === 'sheet') {
      for (const { row } of object.content.sheet.rows) {
        this.rows.set(`${row.partner}/${row.route}/${row.kind}`, row);
      }
    }
  }

  attemptStarted(run: RunRecord): void {
    this.runs.handleRun(run);
  }

  attemptArrived(arrival: ArrivalRecord): void {
    this.leaving.handleArrival(arrival);
  }

  announcedLeaving(replica: string): void {
    this.leaving.handleAnnouncement(replica);
  }

  lifecycleChanged(replica: string, isLeaving: boolean): void {
    this.leaving.handleLifecycleChange(replica, isLeaving);
  }

  endedAsPlanned(node: NodeId, openAttempts: number): void {
    this.leaving.handlePlannedStop(node, openAttempts);
  }

  answered(call: CallRecord): void {
    const { outcome } = call;
    if (outcome === undefined) {
      return;
    }
    this.checkRequest(call, outcome.request);
    this.leaving.handleAnswer(call);
    if (outcome.type === 'not-run') {
      this.runs.handleRefusal(outcome.request);
    }
    if (outcome.type === 'answered') {
      this.checkAnswer(call, outcome);
    }
  }

  editAnswered(edit: EditCallRecord): void {
    this.edits.handleOutcome(edit);
  }

  answeredAgain(call: CallRecord): void {
    this.report('own-answer-only', `${call.call} was answered twice`);
  }

  private checkRequest(call: CallRecord, request: string): void {
    const other = this.requests.get(request);
    if (other !== undefined && other !== call) {
      this.report('own-answer-only', `${call.call} was answered with ${request} of ${other.call}`);
    }
    this.requests.set(request, call);
  }

  private checkAnswer(call: CallRecord, answer: Answered): void {
    const report = (invariant: PromiseName, detail: string): void => {
      this.report(invariant, detail);
    };
    checkSnapshot(answer, report);
    checkOwnAnswer(call, answer, report);
    checkAggregate(answer, report);
    const { partner, route, kind } = call.query;
    const row = this.rows.get(`${partner}/${route}/${kind}`);
    if (row === undefined) {
      report('own-answer-only', `${answer.request} was answered on a route that never was`);
      return;
    }
    const layoutShards = this.listShards(call, row, answer);
    const listsAllContributors =
      row.merge === 'concatenate' && layoutShards.size * MAX_ITEMS_PER_SHARD <= row.maxItems;
    checkCoverage(
      answer,
      {
        layoutShards,
        runs: this.runs.runsOf(answer.request),
        listsAllContributors,
      },
      report,
    );
  }

  /** Returns the shards of the answer's snapshot; for a query placed by key, the shard that ran. */
  private listShards(call: CallRecord, row: RouteRow, answer: Answered): Set<string> {
    if (row.fanOut === 'key') {
      const [run] = this.runs.runsOf(answer.request);
      return new Set(run === undefined ? ['no shard ran'] : [run.shard]);
    }
    const layout = this.findLayout(call.query.partner, answer.snapshot);
    return new Set(
      layout.filter(({ service }) => isServedBy(row, service)).map(({ shard }) => shard),
    );
  }

  private findLayout(
    partner: string,
    version: number,
  ): readonly { readonly shard: string; readonly service: string }[] {
    const name = identifier<ObjectName>(`layout/${partner}`);
    for (const object of [...this.simulation.store.history].reverse()) {
      if (object.name === name && object.content.type === 'layout') {
        const found = object.content.layout.snapshots.find((each) => each.version === version);
        if (found !== undefined) {
          return found.shards;
        }
      }
    }
    return [];
  }
}
