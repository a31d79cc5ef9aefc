/** What ends the backend servers that run it: a request, or a part of prompts. */
export type Harm = "request" | "part";
