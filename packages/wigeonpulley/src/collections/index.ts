/** Collections: data structures without knowledge of any domain. */
export { RecentMap } from "./recent-map.js";
