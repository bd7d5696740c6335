/** Checks of planned stops: leaving replicas get no new work, stopping nodes abort no request. */
import type { ReplicaStatus } from '../../catalog/partner-index.js';
import type { CallRecord } from '../call-record.js';
import type { ArrivalRecord } from '../replica-record.js';
import type { Simulation } from '../simulation.js';
import type { ReportViolation } from './violation.js';

/**
 * Time after the first announcement that a replica is leaving within which it must stop receiving
 * new work, in milliseconds. The first announcement is the platform's status, or the replica's own
 * refusal or answer; nodes cannot detect it earlier. A frozen replica announces nothing.
 */
const LEAVING_BOUND_MS = 3_000;

/** Tracks leaving replicas and stopping nodes. */
export class LeavingChecks {
  private readonly leaving = new Set<string>();
  private readonly firstAnnouncedAt = new Map<string, number>();

  constructor(
    private readonly simulation: Simulation,
    private readonly report: ReportViolation,
  ) {}

  /** Handles a change of a replica's lifecycle. */
  handleLifecycleChange(replica: string, isLeaving: boolean): void {
    if (isLeaving) {
      this.leaving.add(replica);
    } else {
      this.leaving.delete(replica);
      this.firstAnnouncedAt.delete(replica);
    }
  }

  /** Handles the status of a service's replicas that the platform has published. */
  handlePublishedStatus(replicas: readonly ReplicaStatus[]): void {
    for (const { replica, lifecycle } of replicas) {
      if (lifecycle === 'leaving') {
        this.recordFirstAnnouncement(replica);
      }
    }
  }

  /** Handles a replica's announcement that it is leaving. */
  handleAnnouncement(replica: string): void {
    if (this.leaving.has(replica)) {
      this.recordFirstAnnouncement(replica);
    }
  }

  /** Handles an attempt that has reached a replica. */
  handleArrival(arrival: ArrivalRecord): void {
    if (!this.leaving.has(arrival.replica)) {
      return;
    }
    const firstAnnouncedAt = this.firstAnnouncedAt.get(arrival.replica);
    const undisturbedSince = this.simulation.disturbances.undisturbedSince;
    if (firstAnnouncedAt === undefined || undisturbedSince === undefined) {
      return;
    }
    const feederStartedAt = this.simulation.nodes.get(arrival.feeder)?.startedAt ?? 0;
    const from = Math.max(firstAnnouncedAt, undisturbedSince, feederStartedAt);
    if (arrival.at - from > LEAVING_BOUND_MS) {
      this.report(
        'leaving-gets-no-new-work',
        `${arrival.replica} has been known to leave for ${arrival.at - firstAnnouncedAt} ms and got ${arrival.attempt} from ${arrival.feeder}`,
      );
    }
  }

  private recordFirstAnnouncement(replica: string): void {
    if (!this.firstAnnouncedAt.has(replica)) {
      this.firstAnnouncedAt.set(replica, this.simulation.now);
    }
  }

  /** Handles the end of a node's process after a planned stop. */
  handlePlannedStop(node: string, openAttempts: number): void {
    if (openAttempts > 0) {
      this.report(
        'planned-stop-cuts-nothing',
        `${node} ended with ${openAttempts} attempts in progress`,
      );
    }
    for (const call of this.simulation.openCallsOf(node)) {
      this.report('planned-stop-cuts-nothing', `${node} ended with ${call.call} in progress`);
    }
  }

  /** Handles an answer that a caller has received. */
  handleAnswer(call: CallRecord): void {
    const { outcome } = call;
    const undisturbedSince = this.simulation.disturbances.undisturbedSince;
    const wasUndisturbed =
      undisturbedSince !== undefined && undisturbedSince < call.sentAt - LEAVING_BOUND_MS;
    const lostPeer =
      (outcome?.type === 'unknown' && outcome.reason === 'peer-lost') ||
      (outcome?.type === 'answered' &&
        outcome.missing.some(({ reason }) => reason === 'peer-lost'));
    if (wasUndisturbed && lostPeer) {
      this.report(
        'planned-stop-cuts-nothing',
        `${outcome.request} lost a peer though no process crashed and no zone was cut`,
      );
    }
  }
}
