/// @file settings_table.h Every setting of an entry VM's process.

#ifndef SORRELPLANK_TABLE_SETTINGS_TABLE_H_
#define SORRELPLANK_TABLE_SETTINGS_TABLE_H_

#include "config/field_type.h"

namespace sorrelplank {

inline constexpr FieldRow kSettingsTable[] = {
    {"", "name", FieldKind::kText, true, 0, 0, 0, "", "",
     "name of the entry VM, unique in the system"},
    {"", "place", FieldKind::kText, true, 0, 0, 0, "", "",
     "the place it serves, as named in the configuration"},
    {"", "failure_domain", FieldKind::kText, true, 0, 0, 0, "", "",
     "the failure domain it runs in"},
    {"", "region", FieldKind::kText, true, 0, 0, 0, "", "",
     "the region it runs in"},
    {"", "ip", FieldKind::kIp, true, 0, 0, 0, "", "",
     "address on which it listens, announced to other entry VMs"},
    {"", "caller_port", FieldKind::kInteger, false, 8080, 1, 65535, "", "",
     "TCP port for lookups and requests"},
    {"", "peer_port", FieldKind::kInteger, false, 7070, 1, 65535, "", "",
     "TCP port for other entry VMs"},
    {"", "operator_port", FieldKind::kInteger, false, 9090, 1, 65535, "", "",
     "TCP port for status, timeline and metrics"},
    {"", "platform", FieldKind::kAddressList, true, 0, 1, 16, "addresses", "",
     "addresses of the platform's key-value service"},
    {"", "peers", FieldKind::kAddressList, false, 0, 0, 64, "addresses", "",
     "peer ports of other entry VMs, for bootstrapping"},
    {"", "timeline_events", FieldKind::kInteger, false, 4096, 16, 1000000,
     "events", "", "events kept for the timeline"},
    {"", "kept_answer_bytes", FieldKind::kInteger, false, 8388608, 0, 67108864,
     "bytes", "", "responses kept for repeats of non-idempotent requests"},
    {"", "max_header_bytes", FieldKind::kInteger, false, 8192, 256, 65536,
     "bytes", "", "largest header field or URL of a request"},
    {"", "fault_switch", FieldKind::kBool, false, 0, 0, 0, "", "",
     "true: the operator port can cut off addresses; for failure tests only"},
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_TABLE_SETTINGS_TABLE_H_
