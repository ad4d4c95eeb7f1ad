/** Logging: the catalogue of numbered events and the logger. Imports only the errors domain. */
export {
    eventCatalogue,
    type EventDetails,
    type EventEntry,
    type EventLevel,
    type EventName,
} from "./event-catalogue.js";
export { ConsolaSink, EventLogger, EventSink, type LoggedEvent, MemorySink } from "./event-logger.js";
export { LineWriter } from "./line-writer.js";
