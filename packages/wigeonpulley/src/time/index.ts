/** Time: clocks and timers, as services that tests can replace. Imports no other domain. */
export { ClockReading } from "./clock-reading.js";
export { SystemTimerService } from "./system-timer-service.js";
export { type CancelTimer, TimerService } from "./timer-service.js";
export { VirtualTimerService } from "./virtual-timer-service.js";
