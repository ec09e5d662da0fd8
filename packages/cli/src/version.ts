/** Version of the binary, as `--version` prints it. */
export const version = '0.1.0';
