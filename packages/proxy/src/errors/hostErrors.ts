import ModernError from 'modern-errors';

/** Base of the errors that this package throws. */
export const HostError = ModernError.subclass('HostError');

/** The platform did not answer a read. */
export const PlatformError = HostError.subclass('PlatformError');

/** A caller's body is larger than its route takes. */
export const BodyLimitError = HostError.subclass('BodyLimitError');

/** A caller went silent inside a body. */
export const SlowCallerError = HostError.subclass('SlowCallerError');

/** A server's answer broke off. */
export const BrokenAnswerError = HostError.subclass('BrokenAnswerError');

/** A backend server did not take a connection in time. */
export const ConnectTimeoutError = HostError.subclass('ConnectTimeoutError');
