/// @file ids_type.h Identifiers of configured objects, requests and processes.

#ifndef SORRELPLANK_CORE_IDS_TYPE_H_
#define SORRELPLANK_CORE_IDS_TYPE_H_

#include <cstdint>
#include <string>

#include "core/strong_type.h"

namespace sorrelplank {

// Indices into the tables of one Snapshot; not valid for another snapshot.
using RegionId = StrongType<struct RegionTag, uint16_t>;
using DomainId = StrongType<struct DomainTag, uint16_t>;
using PlaceId = StrongType<struct PlaceTag, uint16_t>;
using ServiceId = StrongType<struct ServiceTag, uint16_t>;
using BackendId = StrongType<struct BackendTag, uint32_t>;

/// Hash of a configured name; the same in every process and version. The
/// configuration check refuses two names of one kind with equal hashes.
using NameHash = StrongType<struct NameHashTag, uint32_t>;

/// Identifies a request within one process.
using RequestId = StrongType<struct RequestTag, uint64_t>;
/// Identifies one attempt of a request, at a backend server or an entry VM.
using AttemptId = StrongType<struct AttemptTag, uint64_t>;
/// Version of the configuration; grows by one with each accepted change.
using ConfigVersion = StrongType<struct ConfigVersionTag, uint64_t>;
/// Identifies a run of an entry VM's process; grows with each restart.
using Incarnation = StrongType<struct IncarnationTag, uint64_t>;
/// Group of callers that fairness counts as one: those of one /24 network.
using CallerId = StrongType<struct CallerTag, uint32_t>;
/// Hash of service, idempotency key and request content.
using KeyHash = StrongType<struct KeyHashTag, uint64_t>;

/// Hash of the subject of a quota, such as an organisation's name; the same in
/// every process.
using QuotaSubject = StrongType<struct QuotaSubjectTag, uint64_t>;

/// Name of an entry VM, unique in the whole system.
using VmName = std::string;

/// Returns the hash of a configured name.
NameHash HashName(const std::string& name);
QuotaSubject HashOrganisation(const std::string& name);
/// For a backend server; takes the name of its instance.
QuotaSubject HashServer(const std::string& name);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_IDS_TYPE_H_
