import * as z from "zod";

/** The file that says whose data folder this is. */
export const memberIdentitySchema = z.strictObject({
  format: z.literal(1),
  name: z.string().min(1),
  /** Name and a random part: an emptied folder is another member. */
  id: z.string().min(1),
});
