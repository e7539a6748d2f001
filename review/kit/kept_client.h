// A client that sends one request after the other on a connection that it
// keeps, and opens a new one when that ends.

#ifndef REVIEW_KIT_KEPT_CLIENT_H_
#define REVIEW_KIT_KEPT_CLIENT_H_

#include "review/kit/kit.h"
#include "review/kit/upstream.h"

namespace kit {

// What happened to the requests of several clients.
struct KeptCounts {
  std::atomic<int> answered{0};
  // Requests on a kept connection that a machine passed on to an upstream, and
  // whose connection ended without an answer.
  std::atomic<int> lost{0};
};

struct KeptClient {
  std::string name;
  std::string path;
  int deadline_ms;
  int pause_ms;

  // Sends until `is_over`.
  void Run(const Vm& vm,
           const Ledger& ledger,
           Record& record,
           KeptCounts& counts,
           const std::atomic<bool>& is_over) const {
    std::unique_ptr<Connection> connection;
    int on_connection = 0;
    for (int number = 0; !is_over; ++number) {
      if (!connection) {
        connection = std::make_unique<Connection>(vm.Front());
        on_connection = 0;
      }
      const std::string id = name + "-" + std::to_string(number);
      const bool is_sent =
          connection->IsOpen() &&
          connection->Send(Request("POST", "review.example", path + id, id,
                                   deadline_ms, "signed"));
      const auto answer = connection->Next(deadline_ms + 500);
      const std::string outcome =
          answer    ? "answered " + std::to_string(answer->status)
          : is_sent ? "no answer, connection " + connection->End()
                    : "no connection";
      const bool was_kept = on_connection > 0;
      record.Line("client   %s to %s on a %s connection: %s", id.c_str(),
                  vm.Name().c_str(), was_kept ? "kept" : "new",
                  outcome.c_str());
      if (answer) {
        ++counts.answered;
        ++on_connection;
      } else if (was_kept && !ledger.RunsOf(id).empty()) {
        ++counts.lost;
      }
      if (!answer || answer->Header("connection") == "close") {
        connection.reset();
      }
      SleepMs(answer ? pause_ms : 200);
    }
  }
};

}  // namespace kit

#endif  // REVIEW_KIT_KEPT_CLIENT_H_
