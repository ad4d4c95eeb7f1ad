/** Calls between the VMs of the system. Decides nothing; carries messages of other domains. */
export { ConnectPeerTransport, type ControlByteCounter, PeerServer } from "./connect-peer-transport.js";
export { isPeerKey, PEER_KEY_HEADER, VM_HEADER } from "./peer-identity.js";
export { GossipHandler, GossipTransport, PeerHandler, PeerTransport } from "./peer-transport.js";
export { decodePosition, decodeRecords, encodePosition, encodeRecords } from "./record-codec.js";
export { UnverifiedSessions, type UnverifiedSessionsOptions } from "./unverified-sessions.js";
