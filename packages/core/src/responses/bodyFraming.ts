import {z} from 'zod';

/**
 * How the sender of a response marks the end of its body (RFC 9112, section 6.3): `none` for a response without a
 * body, `length` and `chunks` where the end is declared, `close` where only the close of the connection marks it.
 */
export const bodyFramingSchema = z.enum(['none', 'length', 'chunks', 'close']);

/** How the sender of a response marks the end of its body. */
export type BodyFraming = z.infer<typeof bodyFramingSchema>;
