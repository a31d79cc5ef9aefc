import type * as z from "zod";
import type { contractContentSchema } from "./contract_content_schema.ts";

/** A contract's validated content. */
export type ContractContent = z.infer<typeof contractContentSchema>;
