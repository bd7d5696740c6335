/** Messages between nodes. */
import type { ConfigurationMessage } from './configuration-messages.js';
import type { GrantMessage } from './grant-messages.js';
import type { LegMessage } from './leg-messages.js';
import type { MembershipLinkMessage, MembershipMessage } from './membership-messages.js';
import type { OnceMessage } from './once-messages.js';

/** Any message sent over a TCP link. */
export type LinkMessage =
  LegMessage | ConfigurationMessage | GrantMessage | OnceMessage | MembershipLinkMessage;

/** Any message between nodes. */
export type PeerMessage = LinkMessage | MembershipMessage;
