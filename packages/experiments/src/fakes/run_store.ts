import { readFileSync } from "node:fs";
import process from "node:process";
import type { StorePlan } from "./store_plan.ts";
import { WeightStore } from "./weight_store.ts";

const plan = JSON.parse(readFileSync(process.argv[2]!, "utf8")) as StorePlan;
await new WeightStore(plan).start();
process.once("SIGTERM", () => process.exit(0));
