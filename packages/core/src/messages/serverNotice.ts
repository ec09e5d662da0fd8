import {z} from 'zod';

/** What a backend server states about itself in a response. */
export const serverNoticeSchema = z.object({
  /** Requests per second that the server accepts from the whole fleet; absent where it names no limit. */
  limitPerSecond: z.number().min(0).optional(),
  /** True where the server will stop soon and wants no further requests. */
  isLeaving: z.boolean().optional(),
  /** Time for which the server wants no requests from the host that it refused, in ms. */
  retryAfterMs: z.number().min(0).optional(),
});

/** A notice that a host received from a server some time ago. */
export const noticeReportSchema = z.object({
  serverId: z.string(),
  notice: serverNoticeSchema,
  /** Time since the response with the notice, in ms. */
  ageMs: z.number().min(0),
});

export type ServerNotice = z.infer<typeof serverNoticeSchema>;
export type NoticeReport = z.infer<typeof noticeReportSchema>;
