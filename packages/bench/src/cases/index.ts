/** All cases by name. */
import type { BenchCase } from './bench-case.js';
import { createPoliciesCase } from './policies.js';
import { GLASS_TRADERS, SVEPPASMIDJAN } from '../deployments.js';

export const CASES: Record<string, BenchCase> = {
  'policies-6-workers': createPoliciesCase(GLASS_TRADERS),
  'policies-13-workers': createPoliciesCase(SVEPPASMIDJAN),
};
