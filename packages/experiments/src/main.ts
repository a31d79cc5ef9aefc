import process from "node:process";
import { Demo } from "./demo/demo.ts";

const experiments: Record<string, () => Promise<boolean>> = {
  demo: () => new Demo().run(),
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
