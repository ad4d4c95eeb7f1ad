import { expect, test } from "vitest";
import { RecentMap } from "wigeonpulley";

test("the entries that were set last are kept", () => {
    const map = RecentMap.create<string, number>(2);
    map.set("a", 1);
    map.set("b", 2);
    map.set("a", 3);
    map.set("c", 4);
    expect(["a", "b", "c"].map(key => map.get(key))).toEqual([3, undefined, 4]);
    map.remove("a");
    map.set("d", 5);
    expect(["a", "c", "d"].map(key => map.get(key))).toEqual([undefined, 4, 5]);
});
