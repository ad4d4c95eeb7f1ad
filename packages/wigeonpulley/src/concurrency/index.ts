/** Helpers for tasks that talk to each other. Imports no other domain. */
export { MessageQueue } from "./message-queue.js";
