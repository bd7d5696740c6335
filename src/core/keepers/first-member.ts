/** Finds the first live member by rendezvous for a subject, in one pass and without a sort. */
import { hash32 } from '../hash.js';
import type { NodeId } from '../identifiers.js';
import { listLiveMembers } from '../membership/view.js';
import type { CoreState } from '../state.js';

/** The first of `nodes` for `subject`; `otherwise` when there are none. */
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

/** The first live member for `subject`; this node when it knows of none. */
export const findFirstMember = (state: CoreState, subject: string): NodeId =>
  findFirstOf(
    listLiveMembers(state.membership).map(({ node }) => node),
    state.self.node,
    subject,
  );
