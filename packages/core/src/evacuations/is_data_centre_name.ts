const DATA_CENTRE_NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** Whether a text can be the name of a data centre. */
export function isDataCentreName(text: string): boolean {
  return DATA_CENTRE_NAME.test(text);
}
