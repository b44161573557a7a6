/** Plans which batch items of all entry VMs get free worker slots and which are preempted. */
export { planSlots, type PlannedWorker, type SlotPlan, type VmBatch } from './plan-slots.js';
export { SlotPlanner, type SlotPlannerOptions } from './slot-planner.js';
