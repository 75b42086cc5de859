import tseslint from "typescript-eslint";

const timePackage = "packages/timer/**";
const timeMessage = "Use a timer of @rattanquay/timer instead of global time functions.";
const timeGlobals = ["setTimeout", "setInterval", "setImmediate", "performance"];

export default tseslint.config(
    { ignores: ["**/node_modules/**", "dist/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["packages/**/*.ts"],
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-console": "error",
            "no-var": "error",
            "prefer-const": "error",
            "one-var": ["error", "never"],
            "max-lines-per-function": ["error", { max: 105, skipBlankLines: true, skipComments: true }],
            "max-lines": ["error", { max: 350, skipBlankLines: true, skipComments: true }],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^unused" }],
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "inline-type-imports" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "no-restricted-exports": ["error", { restrictDefaultExports: { direct: true } }],
        },
    },
    {
        files: ["packages/**/*.ts"],
        ignores: [timePackage],
        rules: {
            "no-restricted-globals": ["error", ...timeGlobals.map(name => ({ name, message: timeMessage }))],
            "no-restricted-syntax": [
                "error",
                {
                    selector: "CallExpression[callee.object.name='Date'][callee.property.name='now']",
                    message: timeMessage,
                },
                { selector: "NewExpression[callee.name='Date'][arguments.length=0]", message: timeMessage },
            ],
        },
    },
    {
        files: ["packages/core/src/**/*.ts", "packages/schema/src/**/*.ts"],
        ignores: ["**/__tests__/**"],
        rules: {
            "no-restricted-imports": ["error", { patterns: ["node:*"] }],
            "no-restricted-properties": ["error", {
                object: "Math",
                property: "random",
                message: "Pass random numbers or a random function in as a parameter.",
            }],
        },
    },
    {
        files: ["packages/{entry,cli,peer,platform,task,telemetry,timer}/src/**/*.ts"],
        rules: {
            "no-restricted-imports": ["error", {
                paths: ["node:child_process", "node:cluster", "child_process", "cluster"],
            }],
        },
    },
    {
        files: ["**/*.d.ts"],
        rules: { "no-restricted-exports": "off" },
    },
    {
        files: ["**/__tests__/**"],
        rules: { "max-lines-per-function": "off" },
    },
);
