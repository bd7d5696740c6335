/** Deployments by the names used on the command line. */
import type { Deployment } from './deployment.js';
import { ENSEMBLE } from './ensemble.js';
import { TAWE } from './tawe.js';

/** Valid values of `--deployment`. */
export const DEPLOYMENT_NAMES = ['ensemble', 'tawe', 'both'] as const;

/** A valid value of `--deployment`. */
export type DeploymentName = (typeof DEPLOYMENT_NAMES)[number];

/** Returns the deployments that a `--deployment` value selects. */
export const findDeployments = (name: DeploymentName): readonly Deployment[] => {
  switch (name) {
    case 'ensemble':
      return [ENSEMBLE];
    case 'tawe':
      return [TAWE];
    case 'both':
      return [ENSEMBLE, TAWE];
  }
};
