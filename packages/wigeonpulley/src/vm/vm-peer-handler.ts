/** Handles the calls of peers to one VM. */
import type { ClaimService } from "../claims/index.js";
import { type ConfigurationFollower, type ConfigurationVersion, NO_VERSION } from "../config/index.js";
import type {
    ClaimRequest,
    ClaimResponse,
    GatewayMessage,
    MemberDigest,
    SchedulerMessage,
} from "../gen/wigeonpulley/peer/v1/peer_pb.js";
import type { MembershipService } from "../membership/index.js";
import { PeerHandler } from "../peers/index.js";
import type { SchedulerService } from "../scheduling/index.js";

/** The parts that handle the calls. */
export interface VmPeerHandlerOptions {
    readonly membership: MembershipService;
    readonly schedulers: SchedulerService;
    readonly configurationFollower: ConfigurationFollower;
    readonly claims: ClaimService;
}

/** Delegates peers' calls to the parts of one VM. */
export class VmPeerHandler extends PeerHandler {
    private constructor(private readonly options: VmPeerHandlerOptions) {
        super();
    }

    /** Creates a handler. */
    static create(options: VmPeerHandlerOptions): VmPeerHandler {
        return new VmPeerHandler(options);
    }

    override handleDigest(digest: MemberDigest): MemberDigest {
        return this.options.membership.handleDigest(digest);
    }

    override handleSchedule(
        gateway: string,
        incoming: AsyncIterable<GatewayMessage>,
    ): AsyncIterable<SchedulerMessage> {
        return this.options.schedulers.serveGateway(gateway, incoming);
    }

    override handleFetchConfiguration(knownVersion: number): ConfigurationVersion | undefined {
        const { current } = this.options.configurationFollower;
        return (current?.version ?? NO_VERSION) > knownVersion ? current : undefined;
    }

    override handleClaim(request: ClaimRequest): Promise<ClaimResponse> {
        return this.options.claims.appendForPeer(request.partition, request.recordJson);
    }
}
