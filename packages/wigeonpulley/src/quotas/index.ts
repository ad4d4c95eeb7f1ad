/**
 * Quotas: what all VMs together may admit for a workspace and repeat for a service.
 * Decides by counts alone; knows nothing of endpoints or queues.
 */
export { SharedQuotaLimiter, type SharedQuotaLimiterOptions } from "./shared-quota-limiter.js";
export { SharedRetryBudget, type SharedRetryBudgetOptions } from "./shared-retry-budget.js";
export { type WorkspaceUsage } from "./usage-tracker.js";
