/** The shares of retry budgets that a process has held. */
import type { GatewayConfiguration } from '../model/route.js';
import type { FeederPlan } from '../peers/feeder-plan.js';
import type { ShareHistory } from './share-history.js';

/** What the shares of all services depend on. */
export interface ShareInputs {
  readonly plan: FeederPlan;
  readonly gateways: number;
  readonly configuration: GatewayConfiguration;
  /** The list of gateways, by which the others compute their shares, contains this one. */
  readonly isListed: boolean;
}

/** The shares that a process has held, by service. */
export interface ShareRecords {
  readonly histories: Map<string, ShareHistory>;
  /** The inputs that were last recorded; undefined before. */
  inputs: ShareInputs | undefined;
}

/** Creates the shares of a process that has just started. */
export const createShareRecords = (): ShareRecords => ({ histories: new Map(), inputs: undefined });
