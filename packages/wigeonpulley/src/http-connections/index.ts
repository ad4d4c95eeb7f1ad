/** What Node.js does not tell about the connections of its HTTP servers: open responses, and input that waits to be read. */
export {
    countOpenResponses,
    countRequests,
    isNewest,
    listOpenResponses,
    recordRequest,
} from "./open-responses.js";
export { waitForPendingInput, waitUntilLoopIsInTime } from "./pending-input.js";
