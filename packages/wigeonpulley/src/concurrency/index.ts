/** Helpers for communication between tasks. Imports no other domain. */
export { MessageQueue } from "./message-queue.js";
