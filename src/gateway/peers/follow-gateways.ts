/**
 * Keeps the list of gateways that share replicas and budgets. Each has an entry in the store under its
 * own name, which a restart keeps; it is written when it is missing or tells something else. Entries of
 * gateways that are gone for good only make shares smaller.
 */
import type { GatewayEffect } from '../effect.js';
import type { GatewaysListed } from '../event.js';
import type { BeliefChange } from '../log/log-event.js';
import { isSamePeerRecord, type PeerRecord } from '../model/peer-record.js';
import { preconnectReplicas } from '../replicas/preconnect.js';
import type { GatewaySettings } from '../settings.js';
import type { GatewayState } from '../state.js';

/** Time for an answer, in milliseconds. */
const ANSWER_MS = 1_500;

/** Time between two lists, and while entries still come or the store failed, in milliseconds. */
const STEADY_INTERVAL_MS = 20_000;
const CHANGING_INTERVAL_MS = 1_500;

/** What this gateway tells of itself. */
export const ownRecord = ({ node, zone, peers, capacity }: GatewaySettings): PeerRecord => ({
  name: node,
  zone,
  address: peers,
  capacity,
});

/** Asks for a page of the list, the first one unless it goes on after a name. */
export const listGateways = (after?: string): GatewayEffect => ({
  type: 'call-store',
  call: { type: 'list-gateways', timeoutMs: ANSWER_MS, ...(after !== undefined && { after }) },
});

const listIn = (at: number, intervalMs: number): GatewayEffect => ({
  type: 'set-gateways-timer',
  at: at + intervalMs,
});

/** Writes this gateway's entry where the list lacks it or has another. */
const writeOwnEntry = ({ settings, peers }: GatewayState): GatewayEffect[] => {
  const record = ownRecord(settings);
  const listed = peers.find(record.name);
  if (listed !== undefined && isSamePeerRecord(listed, record)) {
    return [];
  }
  const replace = listed !== undefined;
  return [
    { type: 'call-store', call: { type: 'register', record, replace, timeoutMs: ANSWER_MS } },
  ];
};

const isChanged = (state: GatewayState, records: readonly PeerRecord[]): boolean =>
  records.length !== state.peers.size ||
  records.some((record) => {
    const known = state.peers.find(record.name);
    return known === undefined || !isSamePeerRecord(known, record);
  });

const applyList = (state: GatewayState, records: readonly PeerRecord[]): GatewayEffect[] => {
  if (isChanged(state, records)) {
    state.peers.replaceAll(records);
  }
  const previous = state.gateways;
  const listed = records.length + state.unreadableGateways;
  state.gateways = Math.max(state.gatewaysSettled ? 1 : previous, listed);
  if (state.gateways === previous) {
    return [];
  }
  const change: BeliefChange = { event: 'gateways-counted', gateways: state.gateways, previous };
  return [{ type: 'write-log', level: 'info', part: 'lifecycle', change }];
};

/**
 * A list is settled when it holds this gateway and does not change any more: gateways that start
 * together come into it one by one, and the first ones would take themselves for the only ones.
 */
const isSettledBy = (state: GatewayState, records: readonly PeerRecord[]): boolean => {
  const own = ownRecord(state.settings);
  const isFirst = state.peers.generation === 0;
  const holdsOwn = records.some((record) => isSamePeerRecord(record, own));
  return holdsOwn && (isFirst || !isChanged(state, records));
};

const takeWholeList = (
  state: GatewayState,
  records: readonly PeerRecord[],
  at: number,
): GatewayEffect[] => {
  const isSettled = isSettledBy(state, records);
  state.gatewaysSettled ||= isSettled;
  const log = applyList(state, records);
  const own = writeOwnEntry(state);
  const interval = isSettled ? STEADY_INTERVAL_MS : CHANGING_INTERVAL_MS;
  return [...log, ...own, ...preconnectReplicas(state), listIn(at, interval)];
};

const forgetPages = (state: GatewayState): void => {
  state.listedGateways = [];
  state.unreadableGateways = 0;
};

/** Handles `gateways-listed`; the page is absent when the store did not answer. */
export const takeGateways = (
  state: GatewayState,
  { page, at }: GatewaysListed,
): GatewayEffect[] => {
  if (page === undefined) {
    forgetPages(state);
    return [listIn(at, CHANGING_INTERVAL_MS)];
  }
  state.listedGateways.push(...page.gateways);
  state.unreadableGateways += page.unreadable;
  if (page.more) {
    return [listGateways(page.last)];
  }
  const effects = takeWholeList(state, state.listedGateways, at);
  forgetPages(state);
  return effects;
};
