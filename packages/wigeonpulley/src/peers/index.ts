/** Peers: calls between the VMs of the system. Decides nothing; carries messages of other domains. */
export { type ByteCounter, ConnectPeerTransport, PeerServer } from "./connect-peer-transport.js";
export { MemberHandler, MemberTransport, PeerHandler, PeerTransport } from "./peer-transport.js";
