import * as z from "zod";

/** Content of the file that identifies the member that owns a data folder. */
export const memberIdentitySchema = z.strictObject({
  format: z.literal(1),
  name: z.string().min(1),
  /**
   * The name and a random part, so that a member whose folder was emptied
   * returns as another member.
   */
  id: z.string().min(1),
});
