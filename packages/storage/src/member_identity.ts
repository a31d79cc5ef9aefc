import type * as z from "zod";
import type { memberIdentitySchema } from "./member_identity_schema.ts";

/** Whose data folder this is. */
export type MemberIdentity = z.infer<typeof memberIdentitySchema>;
