/** The fullest window of one service, relative to what is allowed in it. */
export type RepeatWindow = {
  service: string;
  from: number;
  repeats: number;
  allowed: number;
};
