import type {FleetDocument} from '../documentSchema.ts';
import type {HostSettings} from '../settingsSchema.ts';
import type {CheckRule} from './checkRule.ts';
import {BodyLimitBelowRouteRule} from './rules/bodyLimitBelowRouteRule.ts';
import {BurstBelowRateRule} from './rules/burstBelowRateRule.ts';
import {FloorNotMetRule} from './rules/floorNotMetRule.ts';
import {GraceBelowAnnounceRule} from './rules/graceBelowAnnounceRule.ts';
import {HeadLimitBelowRouteRule} from './rules/headLimitBelowRouteRule.ts';
import {HeadTimeoutAboveIdleRule} from './rules/headTimeoutAboveIdleRule.ts';
import {ShadowedRouteRule} from './rules/shadowedRouteRule.ts';
import {SharedAddressRule} from './rules/sharedAddressRule.ts';
import {TimeoutBelowTargetRule} from './rules/timeoutBelowTargetRule.ts';
import {UnusedBackendRule} from './rules/unusedBackendRule.ts';
import {ZeroWeightRule} from './rules/zeroWeightRule.ts';

/** Rules for valid documents. */
export const documentRules: readonly CheckRule<FleetDocument>[] = [
  new ShadowedRouteRule(),
  new ZeroWeightRule(),
  new UnusedBackendRule(),
  new TimeoutBelowTargetRule(),
  new BurstBelowRateRule(),
  new FloorNotMetRule(),
  new BodyLimitBelowRouteRule(),
  new HeadLimitBelowRouteRule(),
];

/** Rules for valid settings of a host. */
export const settingsRules: readonly CheckRule<HostSettings>[] = [
  new HeadTimeoutAboveIdleRule(),
  new GraceBelowAnnounceRule(),
  new SharedAddressRule(),
];
