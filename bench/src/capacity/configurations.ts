/** Creates configurations and VM locations of a given size. */
import { type Configuration, configurationSchema, hashKey } from "wigeonpulley";
import type { VmLocation } from "../system.js";

const DATA_CENTRES = 7;
const MODELS = 6;

const getDataCentre = (index: number): { readonly region: string; readonly dataCentre: string; } => {
    const number = index % DATA_CENTRES;
    return { region: number < 4 ? "south" : "north", dataCentre: `dc-${number}` };
};

/** Returns the locations of a number of VMs in seven data centres of two regions. */
export const createVmLocations = (count: number): readonly VmLocation[] =>
    Array.from({ length: count }, (unused, index) => ({ name: `vm-${index}`, ...getDataCentre(index) }));

/** Creates a configuration with a number of endpoints and workspaces, six models and five tiers. */
export const createSizedConfiguration = (endpoints: number, workspaces: number): Configuration =>
    configurationSchema.parse({
        tiers: Array.from({ length: 5 }, (unused, index) => ({
            name: `tier-${index}`,
            deadlineMs: 60_000,
            durable: index === 0,
        })),
        models: Array.from(
            { length: MODELS },
            (unused, index) => ({ name: `model-${index}`, versions: ["v1"] }),
        ),
        endpoints: Array.from({ length: endpoints }, (unused, index) => ({
            name: `engine-${index}`,
            kind: "engine",
            url: `http://10.0.${index >> 8}.${index & 255}:8000`,
            ...getDataCentre(index),
            serves: `model-${Math.floor(index / DATA_CENTRES) % MODELS}`,
        })),
        callers: Array.from({ length: workspaces }, (unused, index) => ({
            name: `caller-${index}`,
            workspace: `workspace-${index}`,
            keyHash: hashKey(`key-${index}`),
            labels: { plan: index % 3 === 0 ? "large" : "small" },
        })),
        selectors: Array.from({ length: MODELS }, (unused, index) => ({
            name: `model-${index}`,
            tier: `tier-${index % 5}`,
            target: { serves: `model-${index}` },
        })),
    });
