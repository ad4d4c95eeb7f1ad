#!/usr/bin/env node
import { runCli } from "../dist/src/cli/index.js";

await runCli(process.argv);
