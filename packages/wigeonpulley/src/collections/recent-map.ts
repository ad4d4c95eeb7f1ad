/** A map of bounded size that keeps the entries that were set last. */
export class RecentMap<Key, Value> {
    /** Entries that were set earlier come first. */
    private readonly entries = new Map<Key, Value>();

    private constructor(private readonly maxSize: number) {}

    /** Creates an empty map. */
    static create<Key, Value>(maxSize: number): RecentMap<Key, Value> {
        return new RecentMap(maxSize);
    }

    /** Returns the value of a key; undefined without an entry. */
    get(key: Key): Value | undefined {
        return this.entries.get(key);
    }

    /** Sets the value of a key and removes the oldest entry beyond the limit. */
    set(key: Key, value: Value): void {
        this.entries.delete(key);
        this.entries.set(key, value);
        if (this.entries.size > this.maxSize) {
            const [oldest] = this.entries.keys();
            this.entries.delete(oldest as Key);
        }
    }

    /** Removes the entry of a key. */
    remove(key: Key): void {
        this.entries.delete(key);
    }
}
