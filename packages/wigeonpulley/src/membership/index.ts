/**
 * Membership: which VMs are live and which of them owns a key.
 * Decides ownership only as a hint that spreads load; may not be used where a promise needs agreement.
 */
export { isNewerState, type MemberRecord, MemberTable } from "./member-table.js";
export {
    type Member,
    type MembershipOptions,
    MembershipService,
    type OwnerLocation,
    ReportGossip,
} from "./membership-service.js";
