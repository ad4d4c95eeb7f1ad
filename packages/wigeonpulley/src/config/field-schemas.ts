/** Schemas of fields that both the settings and the configuration use: labels and URLs. */
import * as z from "zod";

/** Maximum length of a label's name or value, in characters. */
const MAX_LABEL_LENGTH = 63;

/** A URL whose host is an IP address, since host names are never resolved. */
export const ipUrlSchema = z.url({
    protocol: /^https?$/,
    hostname: /^((\d{1,3}\.){3}\d{1,3}|\[[0-9a-f:.]+\])$/i,
    error: "expected an http or https URL whose host is an IP address",
});

const labelTextSchema = z.string().min(1).max(MAX_LABEL_LENGTH).regex(/^[A-Za-z0-9._/-]+$/);

/** Names and values that operators and callers attach to endpoints, callers and requests. */
export const labelsSchema = z.record(labelTextSchema, labelTextSchema);

/** A set of labels. */
export type Labels = z.infer<typeof labelsSchema>;

/** True when every label of `wanted` is present with the same value. */
export const hasLabels = (wanted: Labels, present: Labels): boolean =>
    Object.entries(wanted).every(([name, value]) => present[name] === value);
