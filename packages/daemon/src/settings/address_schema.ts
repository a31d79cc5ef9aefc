import { isHostAddress } from "@teaselrouter/core/membership/is_host_address.ts";
import * as z from "zod";

/** Address on which a process listens or is reached, as host:port. */
export const addressSchema = z.string().refine(isHostAddress, {
  message: "must be host:port with a port from 1 to 65535",
});
