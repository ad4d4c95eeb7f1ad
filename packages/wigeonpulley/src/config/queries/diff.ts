/** Compares two configurations. */
import type { Configuration } from "../configuration.js";

/** One difference between two configurations. */
export interface ConfigurationChange {
    readonly kind: "added" | "removed" | "changed";
    /** Section and name, for example `endpoints/engine-1`. */
    readonly path: string;
}

const sections = ["tiers", "models", "endpoints", "callers", "selectors", "maintenance"] as const;

/** Lists the differences by section. In tiers and selectors, whose order matters, a moved entry counts as changed. */
export const diffConfigurations = (
    before: Configuration | undefined,
    after: Configuration,
): readonly ConfigurationChange[] =>
    sections.flatMap((section): readonly ConfigurationChange[] => {
        const old = new Map(formatEntries(before?.[section] ?? [], section));
        const current = new Map(formatEntries(after[section], section));
        return [
            ...[...old.keys()].filter(path => !current.has(path)).map(path => ({
                kind: "removed" as const,
                path,
            })),
            ...[...current.keys()].filter(path => !old.has(path)).map(path => ({
                kind: "added" as const,
                path,
            })),
            ...[...current].filter(([path, text]) => old.has(path) && old.get(path) !== text)
                .map(([path]) => ({ kind: "changed" as const, path })),
        ];
    });

const formatEntries = (
    entries: readonly { readonly name: string; }[],
    section: (typeof sections)[number],
): readonly (readonly [string, string])[] => {
    const isOrdered = section === "tiers" || section === "selectors";
    return entries.map((entry, index) => [
        `${section}/${entry.name}`,
        JSON.stringify(isOrdered ? { ...entry, index } : entry),
    ]);
};
