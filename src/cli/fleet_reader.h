/// @file fleet_reader.h Reads the operator ports of all entry VMs.

#ifndef SORRELPLANK_CLI_FLEET_READER_H_
#define SORRELPLANK_CLI_FLEET_READER_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "cli/blocking_http.h"
#include "core/vm_record_type.h"

namespace sorrelplank {

/// Finds the other entry VMs through the first that responds. Assumes that the
/// operator port is the same on all of them.
class FleetReader {
 public:
  FleetReader(BlockingHttp& http, const std::vector<VmAddress>& via);

  /// Operator addresses; empty if no entry VM responded.
  const std::vector<VmAddress>& Addresses() const { return m_addresses; }

  /// The JSON responses of all reachable entry VMs for a path.
  std::vector<nlohmann::json> ReadAll(const std::string& path);

 private:
  BlockingHttp& m_http;
  std::vector<VmAddress> m_addresses;
};

/// Builds a URL query of "name=value" pairs; skips empty values.
std::string MakeQuery(
    const std::vector<std::pair<std::string, std::string>>& values);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CLI_FLEET_READER_H_
