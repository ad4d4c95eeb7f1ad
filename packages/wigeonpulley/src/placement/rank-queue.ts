/**
 * Orders the requests that wait for one service: strictly by priority rank; within a rank those that can still be on
 * time first; then by start tag, which gives each workspace its share; then by arrival. A request that can no longer be on
 * time loses nothing by waiting behind one that can.
 */

/** One waiting request. */
export interface QueuedRequest {
    /** 0 is the most important. */
    readonly rank: number;
    /** Monotonic time of its arrival, in milliseconds. */
    readonly arrivedAt: number;
    /** Latest monotonic time at which it can start and still be on time, in milliseconds. */
    readonly latestOnTimeStartAt: number;
}

/** Computes the start tags of requests of the same rank; given those that can still be on time first, then by arrival. */
export type StartTagFunction<Request> = (requests: readonly Request[]) => ReadonlyMap<Request, number>;

/** Queue of one service on this VM. */
export class RankQueue<Request extends QueuedRequest> {
    /** Sorted by rank, then by arrival. */
    private readonly requests: Request[] = [];

    private constructor() {}

    /** Creates an empty queue. */
    static create<Request extends QueuedRequest>(): RankQueue<Request> {
        return new RankQueue();
    }

    /** Number of waiting requests. */
    get length(): number {
        return this.requests.length;
    }

    /** Waiting requests by rank, then by arrival. */
    list(): readonly Request[] {
        return this.requests;
    }

    /** Adds a request. */
    add(request: Request): void {
        const index = this.requests.findIndex(({ rank, arrivedAt }) =>
            rank > request.rank || (rank === request.rank && arrivedAt > request.arrivedAt)
        );
        this.requests.splice(index === -1 ? this.requests.length : index, 0, request);
    }

    /** True while the request waits. */
    has(request: Request): boolean {
        return this.requests.includes(request);
    }

    /** Removes a request if it waits. */
    remove(request: Request): void {
        const index = this.requests.indexOf(request);
        if (index !== -1) {
            this.requests.splice(index, 1);
        }
    }

    /**
     * Requests in the order of dispatch at the monotonic time `now`, in milliseconds. `computeEffectiveRank` may move a
     * rank ahead of others; within a rank, the lowest start tag goes first.
     */
    listInDispatchOrder(
        now: number,
        computeEffectiveRank: (rank: number) => number = rank => rank,
        computeStartTags: StartTagFunction<Request> = () => new Map(),
    ): readonly Request[] {
        const effectiveRanks = new Map([...new Set(this.requests.map(({ rank }) => rank))].map(rank => [
            rank,
            computeEffectiveRank(rank),
        ]));
        const getRank = ({ rank }: Request): number => effectiveRanks.get(rank) ?? rank;
        const computeLateness = (request: Request): number => request.latestOnTimeStartAt < now ? 1 : 0;
        const onTimeFirst = [0, 1].flatMap(lateness =>
            this.requests.filter(request => computeLateness(request) === lateness)
        );
        const startTags = computeStartTags(onTimeFirst);
        const getStartTag = (request: Request): number => startTags.get(request) ?? 0;
        return onTimeFirst.toSorted((left, right) =>
            getRank(left) - getRank(right) || computeLateness(left) - computeLateness(right)
            || left.rank - right.rank || getStartTag(left) - getStartTag(right)
        );
    }

    /** Number of waiting requests with a better rank, or with the same rank and an earlier arrival. */
    countAhead(rank: number, arrivedAt: number): number {
        return this.requests.filter(other =>
            other.rank < rank || (other.rank === rank && other.arrivedAt < arrivedAt)
        ).length;
    }

    /** Number of waiting requests by rank. */
    countByRank(): ReadonlyMap<number, number> {
        const counts = new Map<number, number>();
        this.requests.forEach(({ rank }) => counts.set(rank, (counts.get(rank) ?? 0) + 1));
        return counts;
    }
}
