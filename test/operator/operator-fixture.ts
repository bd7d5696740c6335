/** An operator context with a core state that tests fill. */
import { Maybe } from 'purify-ts';
import { createNodeMetrics } from '../../src/metrics/node-metrics.js';
import type { StoreContent, StoreObject } from '../../src/catalog/store-object.js';
import {
  identifier,
  type NodeId,
  type ObjectName,
  type PartnerId,
  type ZoneName,
} from '../../src/core/identifiers.js';
import { step } from '../../src/core/reducer.js';
import { createCoreState, type CoreState } from '../../src/core/state.js';
import { demoKeys, demoSecret } from '../../src/deployments/demo-keys.js';
import { firstAgreement, objectNameOf } from '../../src/deployments/initial-objects.js';
import type { OperatorContext } from '../../src/operator/operator-context.js';
import type { EditOutcome, EditRequest } from '../../src/table/edit.js';
import type { RouteRow } from '../../src/table/route-row.js';
import { createRow } from '../table/rows.js';

/** An operator context that records the submitted edits and the log lines. */
export interface OperatorFixture {
  readonly state: CoreState;
  readonly context: OperatorContext;
  readonly edits: EditRequest[];
  readonly logged: string[];
  /** Wall clock of the fixture, in milliseconds. */
  now: number;
  /** Monotonic clock of the fixture, in milliseconds. */
  monotonicNow: number;
  /** Returns the outcome of `submitEdit`. */
  answerEdit: (edit: EditRequest) => EditOutcome;
  /** The objects of the store; reads of other objects fail. */
  readonly stored: Map<ObjectName, StoreObject>;
}

/** Creates the fixture of a starting node. */
export const createOperatorFixture = (): OperatorFixture => {
  const state = createCoreState({
    self: {
      node: identifier<NodeId>('bole/node-1'),
      zone: identifier<ZoneName>('bole'),
      region: 'addis',
      address: { host: '127.0.0.1', port: 7_000 },
      incarnation: 1,
    },
    seeds: [],
    seed: 1,
  });
  const logged: string[] = [];
  const edits: EditRequest[] = [];
  const log = (sentence: string): void => {
    logged.push(sentence);
  };
  const fixture: OperatorFixture = {
    state,
    edits,
    logged,
    stored: new Map(),
    now: 1_800_000_000_000,
    monotonicNow: 1_000,
    answerEdit: (edit) => ({
      type: 'accepted',
      edit: edit.edit,
      version: 1,
      revision: 1,
      findings: [],
    }),
    context: {
      state: () => state,
      submitEdit: (edit) => {
        edits.push(edit);
        return Promise.resolve(fixture.answerEdit(edit));
      },
      fetchObject: (name) => Promise.resolve(Maybe.fromNullable(fixture.stored.get(name))),
      now: () => fixture.now,
      monotonicNow: () => fixture.monotonicNow,
      sessionSecret: 'fixture-session-secret',
      metrics: createNodeMetrics(
        () => state,
        () => fixture.now,
      ),
      log: { info: log, warn: log },
    },
  };
  return fixture;
};

export const ENSEMBLE = identifier<PartnerId>('ensemble');
export const TAWE = identifier<PartnerId>('tawe');

/** Puts objects into the configuration in force, as new versions from the store. */
export const putContents = (fixture: OperatorFixture, contents: readonly StoreContent[]): void => {
  const after = fixture.state.configuration.revision;
  const versions = new Map<string, number>();
  const objects = contents.map((content, index) => {
    const name = objectNameOf(content);
    const held = fixture.state.configuration.objects.get(name)?.version ?? 0;
    const version = (versions.get(name) ?? held) + 1;
    versions.set(name, version);
    return { name, version, revision: after + index + 1, content };
  });
  const through = after + objects.length;
  step(fixture.state, { type: 'store-changed', at: 0, after, through, objects });
};

/** Creates the content of a sheet with `rows`, all written by one operator. */
export const sheetOf = (partner: PartnerId, rows: readonly RouteRow[]): StoreContent => ({
  type: 'sheet',
  sheet: {
    partner,
    rows: rows.map((row) => ({ row, rowVersion: 1, writtenBy: 'first' })),
    history: [
      {
        edit: identifier('first-edit'),
        operator: 'first',
        writtenAt: 1_700_000_000_000,
        reason: 'season opens',
        rows: rows.slice(0, 3).map((row) => `${row.route}/${row.kind}`),
        digest: 1,
        sheetVersion: 1,
      },
    ],
  },
});

/** Creates keys, one row and a share of the pool for each of two partners. */
export const twoPartners = (): StoreContent[] => [
  { type: 'keys', keys: demoKeys(ENSEMBLE) },
  { type: 'keys', keys: demoKeys(TAWE) },
  { type: 'agreement', agreement: firstAgreement() },
  sheetOf(ENSEMBLE, [createRow({ route: 'season-roster', kind: 'page' })]),
  sheetOf(TAWE, [createRow({ partner: 'tawe', route: 'ledger', kind: 'lookup' })]),
];

/** Creates the `Authorization` header of a partner's demo operator. */
export const operatorHeader = (partner: PartnerId): { readonly authorization: string } => ({
  authorization: `Bearer ${demoSecret(partner, 'operator')}`,
});
