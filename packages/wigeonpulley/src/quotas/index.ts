/**
 * Quotas: what all VMs together may admit for a workspace and repeat for a service.
 * Decides by counts alone; knows nothing of endpoints or queues.
 */
export { QuotaLedger, type QuotaLedgerOptions, type WorkspaceUse } from "./quota-ledger.js";
export { RepeatBudget, type RepeatBudgetOptions } from "./repeat-budget.js";
