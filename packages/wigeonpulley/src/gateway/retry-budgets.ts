/** Bounds how often requests are placed again after an endpoint took no connection. */

/** Retries that a new budget allows. */
const INITIAL_RETRIES = 10;

/** Most retries that a budget can hold. */
const MAX_RETRIES = 100;

/** Retries that each dispatched request adds to its budget. */
const RETRIES_PER_REQUEST = 0.1;

/** Budgets by name, for example of a caller. */
export class RetryBudgets {
    private readonly retries = new Map<string, number>();

    private constructor() {}

    /** Creates full budgets. */
    static create(): RetryBudgets {
        return new RetryBudgets();
    }

    /** Notes a dispatched request. */
    deposit(name: string): void {
        this.retries.set(name, Math.min(MAX_RETRIES, this.getRetries(name) + RETRIES_PER_REQUEST));
    }

    /** Takes one retry; false when the budget is used up. */
    tryWithdraw(name: string): boolean {
        const retries = this.getRetries(name);
        if (retries < 1) {
            return false;
        }
        this.retries.set(name, retries - 1);
        return true;
    }

    private getRetries(name: string): number {
        return this.retries.get(name) ?? INITIAL_RETRIES;
    }
}
