/** All benchmark cases by name. */
import { GLASS_TRADERS, SVEPPASMIDJAN } from '../deployments.js';
import type { BenchCase } from './bench-case.js';
import { designLoadCase } from './design-load.js';
import { createFaultCase } from './fault.js';
import { limitsCase } from './limits.js';
import { createPoliciesCase } from './policies.js';
import { createRoutingCase } from './routing.js';

export const CASES: Record<string, BenchCase> = {
  'policies-6-workers': createPoliciesCase(GLASS_TRADERS),
  'policies-13-workers': createPoliciesCase(SVEPPASMIDJAN),
  'routing-6-workers': createRoutingCase(GLASS_TRADERS),
  'routing-13-workers': createRoutingCase(SVEPPASMIDJAN),
  'fault-6-workers': createFaultCase(GLASS_TRADERS),
  'fault-13-workers': createFaultCase(SVEPPASMIDJAN),
  'design-load': designLoadCase,
  limits: limitsCase,
};
