/** Retry budgets: limit the retries of requests that did not reach an endpoint to a share of the dispatched requests. */

/** Retries in a new budget. */
const INITIAL_RETRIES = 10;

/** Maximum number of retries in a budget. */
const MAX_RETRIES = 100;

/** Retries that each dispatched request adds to its budget. */
const RETRIES_PER_REQUEST = 0.1;

/** Retry budgets by name, for example of the caller. */
export class RetryBudgets {
    private readonly retries = new Map<string, number>();

    private constructor() {}

    /** Creates budgets with the initial number of retries. */
    static create(): RetryBudgets {
        return new RetryBudgets();
    }

    /** Adds the share of a retry that a dispatched request earns. */
    deposit(name: string): void {
        this.retries.set(name, Math.min(MAX_RETRIES, this.getRetries(name) + RETRIES_PER_REQUEST));
    }

    /** Takes one retry. Returns false when the budget is used up. */
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
