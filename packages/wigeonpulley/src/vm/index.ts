/** The VM: wires all domains together. Only this folder may import every other one. */
export { type RunningDaemon, startDaemon } from "./daemon.js";
export { EntryVm, type EntryVmOptions } from "./entry-vm.js";
