/** Schemas, types and validation of the published configuration document, its parts and the settings of a host. */
export {callerLimitsSchema, documentSchema, hedgingSchema} from './documentSchema.ts';
export type {
  Backend,
  BackendServer,
  CallerLimits,
  Customer,
  DataCentre,
  FleetDocument,
  HedgingSettings,
  Route,
} from './documentSchema.ts';
export {checkDocument} from './checkDocument.ts';
export type {ValidationIssue} from './validationIssue.ts';
export {formatIssue} from './validationIssue.ts';
export {manifestSchema, hostListSchema} from './publishedSchemas.ts';
export type {HostList, ListedHost, Manifest, ManifestPart} from './publishedSchemas.ts';
export {discoveredServerSchema, registryChangeSchema} from './registrySchemas.ts';
export type {DiscoveredServer, RegistryChange} from './registrySchemas.ts';
export {splitDocument} from './splitDocument.ts';
export type {DigestFunction, SplitDocument} from './splitDocument.ts';
export {joinDocument} from './joinDocument.ts';
export {settingsSchema, DEFAULT_SETTINGS} from './settingsSchema.ts';
export type {HostSettings} from './settingsSchema.ts';
export {parseSettings} from './parseSettings.ts';
export {isIdempotent} from './isIdempotent.ts';
export {checkText, parseComparedDocument} from './check/checkText.ts';
export {withoutSecrets} from './check/withoutSecrets.ts';
export {describeChanges} from './check/describeChanges.ts';
export {failure, findingSchema, formatFinding} from './check/finding.ts';
export type {Finding, FindingKind} from './check/finding.ts';
export {findUnsafeSteps} from './check/findUnsafeSteps.ts';
