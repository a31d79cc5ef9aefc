import process from "node:process";
import { demo } from "./demo/demo.ts";
import { footprintExperiment } from "./footprint/footprint_experiment.ts";
import { overloadExperiment } from "./overload/overload_experiment.ts";
import { spreadExperiment } from "./spread/spread_experiment.ts";

const experiments: Record<string, () => Promise<boolean>> = {
  demo,
  footprint: footprintExperiment,
  overload: overloadExperiment,
  spread: spreadExperiment,
};

const name = process.argv[2] ?? "";
const experiment = experiments[name];
if (experiment === undefined) {
  console.error(`experiments: ${Object.keys(experiments).join(", ")}`);
  process.exit(2);
}
experiment().then(
  (good) => process.exit(good ? 0 : 1),
  (error) => {
    console.error(error);
    process.exit(1);
  },
);
