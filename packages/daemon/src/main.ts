#!/usr/bin/env node
import { runDaemon } from "./cli/run_daemon.ts";

runDaemon();
