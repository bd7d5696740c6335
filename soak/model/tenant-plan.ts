/** Adds tenants to the plan of a run. */
import type { Random } from '../../src/core/random.js';
import type { SoakPlan } from './plan.js';
import type { ScheduledFault } from './schedule.js';
import { drawLongCut, drawTenantSchedule } from './tenant-schedule.js';

/** Runs with smaller seeds have no tenants, so that earlier regression seeds are unchanged. */
export const FIRST_TENANT_SEED = 4_000;

/** One in this many runs with tenants has no faults, so that the order of the classes can be checked. */
const FAULTLESS_ONE_IN = 4;

/** Bounds of the users' deployment with tenants. */
const TENANT_BOUNDS = {
  configurationMs: 5_000,
  contactMs: 5_000,
  keyRevocationMs: 5_000,
  quotaWindowMs: 5_000,
  quotaOvershoot: 0.1,
  quotaSlack: 20,
} as const;

/**
 * After a restore from a backup the store again has keys whose removal it had acknowledged. A gateway that starts
 * then cannot know of the removal, so runs with tenants have no restores.
 */
const isFaultOfTenantRuns = ({ fault }: ScheduledFault): boolean => fault.type !== 'store-returns';

const isVersion = ({ fault }: ScheduledFault): boolean => fault.type === 'configure';

/** Adds tenants, their changes and their loads; a part of the runs loses its faults. */
export const addTenants = (plan: SoakPlan, random: Random, faultsMs: number): SoakPlan => {
  const tenantSchedule = drawTenantSchedule(random, faultsMs);
  const hasFaults = plan.seed % FAULTLESS_ONE_IN !== FAULTLESS_ONE_IN - 1;
  const schedule = plan.schedule.filter(hasFaults ? isFaultOfTenantRuns : isVersion);
  return {
    ...plan,
    bounds: { ...plan.bounds, ...TENANT_BOUNDS },
    hasTenants: true,
    schedule: [
      ...schedule,
      ...tenantSchedule,
      ...(hasFaults ? drawLongCut(random, faultsMs, plan) : []),
    ],
    poisonRequests: hasFaults ? plan.poisonRequests : [],
    plannedWork: hasFaults ? plan.plannedWork : plan.plannedWork.filter(isVersion),
  };
};
