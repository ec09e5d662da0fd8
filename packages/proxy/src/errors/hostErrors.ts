import ModernError from 'modern-errors';

/** Base class of the errors that this package throws. */
export const HostError = ModernError.subclass('HostError');

/** The platform did not respond to a read, or responded with an error. */
export const PlatformError = HostError.subclass('PlatformError');

/** A response of the platform is larger than a host accepts. */
export const ResponseTooLargeError = HostError.subclass('ResponseTooLargeError');

/** A caller's request body is larger than its route accepts. */
export const BodyLimitError = HostError.subclass('BodyLimitError');

/** A caller stopped sending within a request body. */
export const SlowCallerError = HostError.subclass('SlowCallerError');

/** A caller closed its connection within a request body. */
export const CallerLeftError = HostError.subclass('CallerLeftError');

/** The connection to a backend server broke before the response was complete. */
export const BrokenAnswerError = HostError.subclass('BrokenAnswerError');

/** A response body whose end is not declared is larger than a host passes on. */
export const UndeclaredBodyError = HostError.subclass('UndeclaredBodyError');

/** A response body whose end is not declared goes on beyond any size that is likely for one. */
export const EndlessBodyError = HostError.subclass('EndlessBodyError');

/** A backend server used a transfer coding that no request accepts; counts as malformed, as its code is that of an HTTP parser. */
export const TransferCodingError = HostError.subclass('TransferCodingError', {
  props: {code: 'HPE_INVALID_TRANSFER_ENCODING'},
});

/** The memory for responses that are read completely does not hold another part of one. */
export const ResponseMemoryError = HostError.subclass('ResponseMemoryError');

/** A backend server sent more interim responses than any request needs. */
export const InterimResponsesError = HostError.subclass('InterimResponsesError');

/**
 * A backend server sent a head or trailers with more lines, or a longer line, than a host accepts. Its code is that of an
 * HTTP parser for the same fault, so that the attempt counts as malformed.
 */
export const ResponseHeadError = HostError.subclass('ResponseHeadError', {
  props: {code: 'HPE_HEADER_OVERFLOW'},
});

/**
 * A backend server sent a status line with a version or a status that no response has. Its code is that of an HTTP
 * parser for the same fault, so that the attempt counts as malformed.
 */
export const StatusLineError = HostError.subclass('StatusLineError', {
  props: {code: 'HPE_INVALID_STATUS'},
});

/** A connection to a backend server was not established in time. */
export const ConnectTimeoutError = HostError.subclass('ConnectTimeoutError');

/** A copy of an earlier response arrived within the body of another, so that the body is not what the server meant. */
export const RepeatedResponseError = HostError.subclass('RepeatedResponseError');
