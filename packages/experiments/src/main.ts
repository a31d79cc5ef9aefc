import process from "node:process";
import { contractExperiment } from "./control/contract_experiment.ts";
import { failoverExperiment } from "./control/failover_experiment.ts";
import { decisionExperiment } from "./heavy/decision_experiment.ts";
import { demo } from "./demo/demo.ts";
import { footprintExperiment } from "./footprint/footprint_experiment.ts";
import { heavyExperiment } from "./heavy/heavy_experiment.ts";
import { overloadExperiment } from "./overload/overload_experiment.ts";
import { requestExperiment } from "./requests/request_experiment.ts";
import { spreadExperiment } from "./spread/spread_experiment.ts";

const experiments: Record<string, () => Promise<boolean>> = {
  decisions: decisionExperiment,
  demo,
  contract: contractExperiment,
  failover: failoverExperiment,
  footprint: footprintExperiment,
  heavy: heavyExperiment,
  overload: overloadExperiment,
  requests: requestExperiment,
  spread: spreadExperiment,
};

const name = process.argv[2] ?? "";
const experiment = experiments[name];
if (experiment === undefined) {
  console.error(
    `usage: main.js EXPERIMENT, one of: ${Object.keys(experiments).join(", ")}`,
  );
  process.exit(2);
}
experiment().then(
  (hasPassed) => process.exit(hasPassed ? 0 : 1),
  (error) => {
    console.error(error);
    process.exit(1);
  },
);
