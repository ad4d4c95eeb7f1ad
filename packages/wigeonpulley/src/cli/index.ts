/** The `wigeonpulley` command. */
import { type CAC, cac } from "cac";
import { describeCause, SchedulerError } from "../errors/index.js";
import { runAudit } from "./audit/index.js";
import { runConfigCheck } from "./config-check/index.js";
import { runConfigDiff } from "./config-diff/index.js";
import { type PublishOptions, runConfigPublish } from "./config-publish/index.js";
import { type LogOptions, runConfigShow } from "./config-show/index.js";
import { runDrain } from "./drain/index.js";
import { runKeyHash } from "./key-hash/index.js";
import type { OperatorCallOptions } from "./operator-client.js";
import { printError } from "./output.js";
import { type ReportOptions, runReport } from "./report/index.js";
import { runServe, type ServeOptions } from "./serve/index.js";
import { runSettingsCheck } from "./settings-check/index.js";
import { runStatus } from "./status/index.js";

const VERSION = "0.1.0";

/** Options that a command requires. */
const requiredOptionsByCommand: Record<string, readonly string[]> = {
    serve: ["settings"],
    status: ["vm"],
    drain: ["vm"],
    audit: ["log"],
    "config publish": ["log"],
    "config show": ["log"],
    "config diff": ["log"],
};

const runConfig = async (
    action: string,
    path: string | undefined,
    options: PublishOptions & LogOptions,
): Promise<void> => {
    checkRequiredOptions(`config ${action}`, { ...options });
    if (action === "show") {
        return runConfigShow(options);
    }
    if (path === undefined) {
        throw SchedulerError.create("InvalidRequest", { problems: `config ${action} needs a file` });
    }
    switch (action) {
        case "check":
            return runConfigCheck(path);
        case "publish":
            return runConfigPublish(path, options);
        case "diff":
            return runConfigDiff(path, options);
        default:
            throw SchedulerError.create("InvalidRequest", {
                problems: `there is no command "config ${action}"`,
            });
    }
};

const checkRequiredOptions = (command: string, options: Record<string, unknown>): void => {
    const missing = (requiredOptionsByCommand[command] ?? []).filter(name => options[name] === undefined);
    if (missing.length > 0) {
        const problems = `${command} needs ${missing.map(name => `--${name}`).join(", ")}`;
        throw SchedulerError.create("InvalidRequest", { problems });
    }
};

const addSettingsCommand = (cli: CAC): void => {
    cli.command("settings <action> <file>", "check: checks the settings of a VM for routed traffic")
        .action((action: string, file: string) => {
            if (action !== "check") {
                throw SchedulerError.create("InvalidRequest", {
                    problems: `there is no command "settings ${action}"`,
                });
            }
            runSettingsCheck(file);
        });
};

const addKeyCommand = (cli: CAC): void => {
    cli.command("key <action>", "hash: prints the hash of an operator key for the settings")
        .option("--key <key>", "Operator key (default: environment variable WIGEONPULLEY_OPERATOR_KEY)")
        .action((action: string, { key }: { readonly key?: string; }) => {
            if (action !== "hash") {
                throw SchedulerError.create("InvalidRequest", {
                    problems: `there is no command "key ${action}"`,
                });
            }
            runKeyHash(key);
        });
};

const addVmCommands = (cli: CAC): void => {
    for (
        const [name, description, run] of [
            ["status", "Shows the state of the system as one VM knows it", runStatus],
            ["drain", "Starts the graceful shutdown of one VM", runDrain],
        ] as const
    ) {
        cli.command(name, description)
            .option("--vm <url>", "Base URL of the VM")
            .option("--key <key>", "Operator key (default: environment variable WIGEONPULLEY_OPERATOR_KEY)")
            .action((options: OperatorCallOptions) => {
                checkRequiredOptions(name, { ...options });
                return run(options);
            });
    }
};

const addReportCommands = (cli: CAC): void => {
    cli.command("report <file>", "Reports from log lines how requests ended, by route and second")
        .option("--svg <file>", "Also writes a plot to this file")
        .action((file: string, options: ReportOptions) => runReport(file, options));
    cli.command("audit", "Lists the changes of the configuration and their outcomes")
        .option("--log <url>", "URL of the platform's log")
        .action((options: LogOptions) => {
            checkRequiredOptions("audit", { ...options });
            return runAudit(options);
        });
};

/** Runs the command that `argv` names. Prints errors as problem+json on standard error and sets a non-zero exit code. */
export const runCli = async (argv: readonly string[]): Promise<void> => {
    const cli = cac("wigeonpulley");
    cli.command("serve", "Runs one VM until SIGTERM")
        .option("--settings <file>", "Settings of the VM as JSON")
        .action((options: ServeOptions) => {
            checkRequiredOptions("serve", { ...options });
            return runServe(options);
        });
    cli.command("config <action> [file]", "check, publish, show or diff a configuration")
        .option("--log <url>", "URL of the platform's log")
        .option("--base <version>", "Version that the change is based on (default: the version in force)")
        .option("--author <name>", "Name for the audit trail")
        .option("--wait", "Wait until all live VMs report the version; needs --vm")
        .option("--timeout <seconds>", "Maximum wait (default: 12)")
        .option("--vm <url>", "Base URL of any VM")
        .option("--key <key>", "Operator key (default: environment variable WIGEONPULLEY_OPERATOR_KEY)")
        .action(runConfig);
    addSettingsCommand(cli);
    addKeyCommand(cli);
    addVmCommands(cli);
    addReportCommands(cli);
    cli.help();
    cli.version(VERSION);
    try {
        cli.parse([...argv], { run: false });
        if (
            cli.matchedCommand === undefined && cli.options["help"] !== true
            && cli.options["version"] !== true
        ) {
            cli.outputHelp();
            process.exitCode = 1;
            return;
        }
        await cli.runMatchedCommand();
    }
    catch (cause) {
        const isSchedulerError = cause instanceof SchedulerError;
        printError(
            isSchedulerError
                ? cause
                : SchedulerError.create("InvalidRequest", { problems: describeCause(cause) }),
        );
    }
};
