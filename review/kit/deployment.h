// A small deployment on loopback addresses: the store, entry VMs, upstreams.

#ifndef REVIEW_KIT_DEPLOYMENT_H_
#define REVIEW_KIT_DEPLOYMENT_H_

#include "review/kit/kit.h"
#include "review/kit/upstream.h"

namespace kit {

inline const std::vector<Zone> kZones = {{"vantaa-a", "uusimaa"},
                                         {"tampere-a", "pirkanmaa"}};

inline ServerEntry MakeEntry(const std::string& id,
                             const std::string& service,
                             const Zone& zone,
                             int last,
                             int slots = 32) {
  ServerEntry entry;
  entry.id = id;
  entry.service = service;
  entry.zone = zone.name;
  entry.address = FreeAddress(Ip(last));
  entry.slots = slots;
  return entry;
}

struct Route {
  std::string name;
  std::string prefix;
  std::string kind;
  double timeout_s;
  std::string service;
};

// A configuration as PROTOCOL.md has it.
inline std::string Config(int version,
                          const std::vector<Route>& routes,
                          const std::vector<std::string>& services) {
  std::string rows;
  for (const Route& route : routes) {
    rows += std::string(rows.empty() ? "" : ",") + "[\"" + route.name +
            "\",\"review.example\",\"" + route.prefix + "\",\"" + route.kind +
            "\"," + std::to_string(route.timeout_s) + ",0.4,2,null,2,true,[],\"" +
            route.service + "\"]";
  }
  std::string service_rows;
  for (const std::string& service : services) {
    service_rows += std::string(service_rows.empty() ? "" : ",") + "[\"" +
                    service + "\",\"/health\",330,\"h1\",false,3.0,7.1]";
  }
  return R"({"Version":"r)" + std::to_string(version) +
         R"(","Routes":{"Columns":["Name","Host","Prefix","Kind","TimeoutS",)"
         R"("TargetLatencyS","Priority","Backends","MaxAttempts",)"
         R"("SessionAffinity","HomeRegions","Service"],"Rows":[)" +
         rows +
         R"(]},"Services":{"Columns":["Name","HealthPath","MaxConns",)"
         R"("Protocol","Tls","ColdStartS","ColdPerS"],"Rows":[)" +
         service_rows +
         R"(]},"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,)"
         R"("HeaderTimeoutS":3,"IdleTimeoutS":15}})";
}

inline int CannotRun(Record& record, const char* why) {
  record.Line("could not run: %s", why);
  std::fprintf(stderr, "could not run: %s\n", why);
  return kCouldNotRun;
}

}  // namespace kit

#endif  // REVIEW_KIT_DEPLOYMENT_H_
