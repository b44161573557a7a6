/** Validation, versioned schemas and conversion of operator records. */
export { convertSpec, convertToNewest, type Spec } from './conversion.js';
export * from './parse.js';
export { newestVersion, type ServiceRecordV1, type TeamRecordV1 } from './schemas.js';
export * from './stored-record.js';
