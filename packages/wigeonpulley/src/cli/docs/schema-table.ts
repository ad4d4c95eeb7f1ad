/** Formats the options of zod schemas as Markdown tables. */
import * as z from "zod";

const schemaNodeSchema = z.looseObject({
    type: z.string().optional(),
    description: z.string().optional(),
    default: z.unknown().optional(),
    enum: z.array(z.unknown()).optional(),
    get properties() {
        return z.record(z.string(), schemaNodeSchema).optional();
    },
    get items() {
        return schemaNodeSchema.optional();
    },
    required: z.array(z.string()).optional(),
});

type SchemaNode = z.infer<typeof schemaNodeSchema>;

const describeType = (node: SchemaNode): string =>
    node.enum === undefined ? node.type ?? "text" : node.enum.map(String).join(" or ");

const listOptionRows = (node: SchemaNode, path: string): readonly string[] => {
    const rows = Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
        const childPath = path === "" ? name : `${path}.${name}`;
        const isRequired = node.required?.includes(name) === true && child.default === undefined;
        const defaultText = child.default === undefined
            ? (isRequired ? "required" : "")
            : JSON.stringify(child.default);
        const hasNestedOptions = child.properties !== undefined || child.items?.properties !== undefined;
        const row = `| ${childPath} | ${describeType(child)} | ${hasNestedOptions ? "" : defaultText} | ${
            child.description ?? ""
        } |`;
        return [row, ...listOptionRows(child, childPath)];
    });
    return node.items === undefined ? rows : [...rows, ...listOptionRows(node.items, `${path}[]`)];
};

/** Formats a Markdown table with the path, type, default and description of every option of a schema. */
export const formatOptionTable = (schema: z.ZodType): string => {
    const node = schemaNodeSchema.parse(z.toJSONSchema(schema, { io: "input" }));
    return ["| Option | Type | Default | Meaning |", "| --- | --- | --- | --- |", ...listOptionRows(node, "")]
        .join(
            "\n",
        );
};
