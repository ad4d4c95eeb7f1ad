/**
 * Quotas: what all VMs together may admit for a workspace and repeat for a service.
 * Decides by counts alone; knows nothing of endpoints or queues.
 */
export { type WorkspaceUse } from "./known-use.js";
export { QuotaLedger, type QuotaLedgerOptions } from "./quota-ledger.js";
export { RepeatBudget, type RepeatBudgetOptions } from "./repeat-budget.js";
