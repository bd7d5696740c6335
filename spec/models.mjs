/**
 * The models to check. Each must hold unchanged, and must fail with each of its mutations, macros that
 * each remove one rule of the core.
 *
 * @typedef {object} Model
 * @property {string} name name of the file in this folder, without its extension
 * @property {string} [size] macros for spin's command line that set the size to explore
 * @property {string} [verifier] options of the verifier, e.g. a larger search depth
 * @property {string[]} mutations macros, each of which must make the model fail
 */

/** @type {Model[]} */
export const MODELS = [
  {
    name: 'configuration',
    mutations: [
      'DROP_NEWER_CHECK',
      'DROP_EXPECTED_VERSION',
      'DROP_READ_BACK',
      'DROP_START_RULE',
      'DROP_OLDER_EDIT_CHECK',
      'DROP_WRITE_BACK',
    ],
  },
  {
    name: 'once',
    mutations: [
      'DROP_MAJORITY',
      'DROP_MEMORY',
      'DROP_VOUCH',
      'DROP_MARGIN',
      'DROP_LEAD',
      'DROP_CLOSED',
      'DROP_ROSTER',
      'DROP_ONE_ATTEMPT',
      'DROP_PROOF',
      'DROP_OWN_RELEASE',
    ],
  },
  {
    name: 'lease',
    mutations: [
      'DROP_MAJORITY',
      'DROP_EXCLUSIVE_VOTE',
      'DROP_ABSTENTION',
      'DROP_NAMED_PROCESS',
      'DROP_VOTE_LENGTH',
      'DROP_LEASE_FROM_ASKING',
      'DROP_STOP_ON_RELEASE',
    ],
  },
  {
    name: 'grants',
    mutations: [
      'DROP_EXPIRY',
      'DROP_LEASE_CHECK',
      'DROP_FIRST',
      'DROP_ADOPTION',
      'DROP_BOOK',
      'DROP_HELD_GRANT',
      'DROP_NEWEST',
      'DROP_FROM_SENDING',
      'DROP_STILL_HELD',
    ],
  },
  {
    name: 'zone-grants',
    mutations: [
      'DROP_DIVIDER_EXPIRY',
      'DROP_HOLDER_BOOK',
      'DROP_IN_USE',
      'DROP_PROCESS',
      'DROP_ORDER',
      'DROP_FROM_SENDING',
      'DROP_END',
      'DROP_STOP_ON_RETURN',
    ],
  },
  {
    name: 'key-confirmation',
    mutations: [
      'DROP_LIMIT',
      'DROP_READ_TIME',
      'DROP_CURRENT_READ',
      'DROP_IN_FORCE',
      'DROP_ASKED_TIME',
      'DROP_OWN_REQUEST',
      'DROP_AGE',
      'DROP_VERSION',
    ],
  },
  {
    name: 'quotas',
    mutations: [
      'DROP_EXPIRY',
      'DROP_FROM_SENDING',
      'DROP_NEWEST',
      'DROP_SEQUENCE',
      'DROP_RENEWAL',
      'DROP_REPORTED',
      'DROP_LEASED',
      'DROP_SETTLING',
      'DROP_EMPTY_START',
      'DROP_BURN',
      'DROP_SOON',
      'DROP_ONE_ADMISSION',
    ],
  },
];
