/** Finds the first live member by rendezvous hash for a subject, in one pass without sorting. */
import { hash32 } from '../hash.js';
import type { NodeId } from '../identifiers.js';
import { listLiveMembers } from '../membership/view.js';
import type { CoreState } from '../state.js';

/** Returns the first of `nodes` for `subject`; `fallback` when there are none. */
export const findFirstOf = (
  nodes: readonly NodeId[],
  fallback: NodeId,
  subject: string,
): NodeId => {
  let first = fallback;
  let firstWeight = -1;
  for (const node of nodes) {
    const weight = hash32(`${node}|${subject}`);
    if (weight > firstWeight || (weight === firstWeight && node < first)) {
      first = node;
      firstWeight = weight;
    }
  }
  return first;
};

/** Returns the first live member for `subject`; this node when it knows no other. */
export const findFirstMember = (state: CoreState, subject: string): NodeId =>
  findFirstOf(
    listLiveMembers(state.membership).map(({ node }) => node),
    state.self.node,
    subject,
  );
