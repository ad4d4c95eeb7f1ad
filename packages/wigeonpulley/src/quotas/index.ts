/**
 * Limits, over all VMs together, how much of a workspace's quota is admitted and how many retries a service gets.
 * Decides by counts alone; knows nothing of endpoints or queues.
 */
export { SharedQuotaLimiter, type SharedQuotaLimiterOptions } from "./shared-quota-limiter.js";
export { SharedRetryBudget, type SharedRetryBudgetOptions } from "./shared-retry-budget.js";
export { type WorkspaceUsage } from "./usage-tracker.js";
