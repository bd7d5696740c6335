/** Sends the queries and at-most-once requests of a history. */
import { createRandom } from '../../core/random.js';
import { createIdempotencyKey } from '../../protocol/idempotency-key.js';
import type { RouteRow } from '../../table/route-row.js';
import { VIRTUAL_EPOCH_MS } from '../node-environment.js';
import type { Simulation } from '../simulation.js';
import type { Action } from './action.js';
import { pick } from './pick.js';

type ActionOf<Type extends Action['type']> = Extract<Action, { type: Type }>;

/** Time after its deadline by which a call must have ended, in milliseconds. */
const CALL_GRACE_MS = 2_000;

/** Sends the calls of a history for the rows of the table. */
export class HistoryCalls {
  private nonces = 0;
  private readonly idempotencyKeys = new Map<number, string>();

  /**
   * @param safeRows - rows that queries choose from, by index
   * @param onceRows - at-most-once rows that bookings choose from, by index
   * @param nodeName - returns the name of the node with an index
   */
  constructor(
    private readonly simulation: Simulation,
    private readonly safeRows: readonly RouteRow[],
    private readonly onceRows: readonly RouteRow[],
    private readonly nodeName: (index: number) => string,
  ) {}

  /** Sends a query or a booking. */
  send(action: ActionOf<'query' | 'book'>): void {
    const row = pick(action.type === 'book' ? this.onceRows : this.safeRows, action.row);
    this.nonces += 1;
    const once =
      action.type === 'book' ? { idempotencyKey: this.idempotencyKeyOf(action.key) } : {};
    this.simulation.call(this.nodeName(action.node), {
      partner: row.partner,
      route: row.route,
      kind: row.kind,
      key: `key-${action.key}`,
      payload: { nonce: `nonce-${this.nonces}` },
      ...once,
    });
  }

  /** Closes the connection of an earlier call's caller. */
  leave({ call }: ActionOf<'leave'>): void {
    const { calls } = this.simulation;
    if (calls.length > 0) {
      this.simulation.leave(pick(calls, call));
    }
  }

  /** Describes each call that has not ended although its deadline has passed. */
  findOverdue(): readonly string[] {
    const { now, calls } = this.simulation;
    return calls
      .filter(({ sentAt, endedAt, query }) => {
        const deadlineMs = query.deadlineMs ?? this.deadlineOf(query.partner, query.route);
        return endedAt === undefined && now - sentAt > deadlineMs + CALL_GRACE_MS;
      })
      .map(({ call, node }) => `${call} at ${node} never got an answer`);
  }

  private deadlineOf(partner: string, route: string): number {
    const rows = [...this.safeRows, ...this.onceRows];
    const row = rows.find((each) => each.partner === partner && each.route === route);
    return row?.deadlineMs ?? 0;
  }

  /** Returns the idempotency key of a number; creates it on first use. */
  private idempotencyKeyOf(number: number): string {
    const known = this.idempotencyKeys.get(number);
    if (known !== undefined) {
      return known;
    }
    const createdAt = VIRTUAL_EPOCH_MS + this.simulation.now;
    const key = createIdempotencyKey(createdAt, createRandom(number).next);
    this.idempotencyKeys.set(number, key);
    return key;
  }
}
