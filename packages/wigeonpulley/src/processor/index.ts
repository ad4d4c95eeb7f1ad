/**
 * Knows the processor as a resource of this VM: how much of it is in use and for what, and how late the event loop is. Decides
 * nothing; other parts ask it before they spend more.
 */
export { ProcessorClock, SystemProcessorClock } from "./processor-clock.js";
export { ProcessorMonitor, type ProcessorMonitorOptions } from "./processor-monitor.js";
export { measureWork, WORK_KINDS, type WorkKind, WorkMeter } from "./work-meter.js";
