import stylistic from "@stylistic/eslint-plugin";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/gen/**", "**/node_modules/**", "target/**"] },
    ...tseslint.configs.recommended,
    {
        plugins: { "@stylistic": stylistic },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "prefer-arrow-callback": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined." },
                { selector: "FunctionDeclaration:not([generator=true])", message: "Use an arrow function." },
                { selector: "ThrowStatement > Literal", message: "Throw a typed error." },
                { selector: "ExportDefaultDeclaration", message: "Use a named export." },
            ],
            "max-lines-per-function": ["error", { max: 60, skipBlankLines: true, skipComments: true }],
            "@stylistic/brace-style": ["error", "stroustrup", { allowSingleLine: false }],
            "@stylistic/quotes": ["error", "double", { avoidEscape: true, allowTemplateLiterals: "always" }],
            "@stylistic/indent": "off",
            "@stylistic/semi": ["error", "always"],
            "@stylistic/arrow-parens": ["error", "as-needed"],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-unused-vars": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: ["function", "parameter", "classMethod"], format: ["camelCase"] },
                { selector: "variable", format: ["camelCase", "PascalCase", "UPPER_CASE"] },
                { selector: "memberLike", modifiers: ["private"], format: ["camelCase"] },
            ],
        },
    },
    {
        files: ["**/test/**", "**/*.config.*", "scripts/**"],
        rules: {
            "max-lines-per-function": "off",
            "no-restricted-syntax": ["error", { selector: "Literal[raw='null']", message: "Use undefined." }],
        },
    },
    {
        files: ["scripts/slim/*.cjs"],
        rules: { "@typescript-eslint/no-require-imports": "off" },
    },
);
