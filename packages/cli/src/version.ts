/** Version of the binary. */
export const version = '0.1.0';
