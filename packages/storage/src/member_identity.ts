import type * as z from "zod";
import type { memberIdentitySchema } from "./member_identity_schema.ts";

/** Identifies the member that owns a data folder. */
export type MemberIdentity = z.infer<typeof memberIdentitySchema>;
