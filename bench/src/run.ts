/** Benchmarks. */
export {};
