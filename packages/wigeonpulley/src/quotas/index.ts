/**
 * Quotas: what all VMs together may admit for a workspace and repeat for a service.
 * Decides by counts alone; knows nothing of endpoints or queues.
 */
export { type WorkspaceUsage } from "./known-use.js";
export { SharedQuotaLimiter, type SharedQuotaLimiterOptions } from "./quota-ledger.js";
export { SharedRetryBudget, type SharedRetryBudgetOptions } from "./repeat-budget.js";
