/** Records of the calls of callers and operators and their outcomes. */
import type { CallId, NodeId } from '../core/identifiers.js';
import type { QueryOutcome, QueryRequest } from '../core/query/query-request.js';
import type { EditOutcome, EditRequest } from '../table/edit.js';

/** Why a call ended without an answer. */
export type LostCallReason = 'node-down' | 'connection-lost' | 'caller-left';

/** A caller's query and its outcome. */
export interface CallRecord {
  readonly call: CallId;
  readonly node: NodeId;
  readonly query: QueryRequest;
  readonly sentAt: number;
  /** Latency between the caller and the node, one way, in milliseconds. */
  readonly clientLatencyMs: number;
  endedAt?: number;
  outcome?: QueryOutcome;
  lost?: LostCallReason;
  /** Number of answers after the first one; must stay 0. */
  extraAnswers: number;
}

/** An operator's edit and its outcome. */
export interface EditCallRecord {
  readonly call: CallId;
  readonly node: NodeId;
  readonly edit: EditRequest;
  readonly sentAt: number;
  endedAt?: number;
  outcome?: EditOutcome;
  lost?: LostCallReason;
}
