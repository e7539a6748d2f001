// Clients pipeline idempotent requests; the entry VM gets SIGTERM while the
// upstreams work on them. Each request that an upstream runs has to be answered
// completely, since its work ends well before the last sixth of GraceS.
#include "../kit-2/kit.hpp"

namespace {

constexpr int kConnections = 8;
constexpr int kDepth = 3;
// The site's time budget and route timeout for this kind of request.
constexpr int kDeadlineMs = 8000;

struct Client {
  int fd = -1;
  std::vector<std::string> ids;
  std::vector<std::string> outcomes;
};

void Read(Client& client) {
  kit::Reader reader(client.fd);
  for (const std::string& id : client.ids) {
    const kit::Message answer = reader.Read(kDeadlineMs);
    if (!answer.complete) {
      client.outcomes.push_back(reader.Closed() ? "closed" : "silent");
      kit::Record("client: %s gets no answer, connection %s", id.c_str(),
                  reader.Closed() ? "closed" : "silent");
      continue;
    }
    const bool is_own = answer.body == "answer to " + id + "\n";
    client.outcomes.push_back(answer.Status() == 200 && is_own
                                  ? "served"
                                  : "status " +
                                        std::to_string(answer.Status()));
    kit::Record("client: %s gets %d, connection: %s", id.c_str(),
                answer.Status(), answer.Get("connection").c_str());
  }
}

}  // namespace

int main(int argc, char** argv) {
  const kit::Setup setup = kit::Begin(argc, argv);
  kit::Store store;
  store.Start(setup.platform, setup.folder + "/store.log");
  const std::string config =
      R"({"Version":"r1","Routes":{"Columns":["Name","Host","Prefix","Service",
"Kind","TimeoutS","TargetLatencyS","Priority","MaxAttempts"],"Rows":[
["digest","lopu12.example","/hucu512/","digestor","idempotent",7.0,1.2,2,2]]},
"Services":{"Columns":["Name","HealthPath","MaxConns","ColdStartS","ColdPerS"],
"Rows":[["digestor","/health",390,3.0,4.0]]},"Limits":{"MaxHeaderBytes":8192,
"MaxBodyBytes":1048576,"HeaderTimeoutS":3.0,"IdleTimeoutS":15.0}})";
  if (store.Put("op/config", config) != 200) {
    kit::CannotRun("the store refuses the configuration");
  }
  std::vector<std::unique_ptr<kit::Upstream>> upstreams;
  for (int i = 0; i < 6; ++i) {
    upstreams.push_back(std::make_unique<kit::Upstream>(
        store, "i-digest" + std::to_string(i), "digestor", "vantaa-a", 8,
        kit::Ip(100 + i)));
  }
  std::vector<kit::Edge> edges;
  for (int i = 1; i <= 2; ++i) {
    edges.push_back(kit::MakeEdge(store, setup.folder, i, "vantaa-a",
                                  "uusimaa"));
    kit::StartEdge(edges.back(), setup.edge);
  }
  for (const kit::Edge& edge : edges) {
    kit::WaitReady(edge);
  }
  kit::SleepMs(5000);  // ContactS is 4: all is calm.

  std::vector<Client> clients(kConnections);
  for (int c = 0; c < kConnections; ++c) {
    Client& client = clients[c];
    client.fd = kit::Connect(edges[0].ip, edges[0].front);
    if (client.fd < 0) {
      kit::CannotRun("no connection to the entry VM");
    }
    std::string bytes;
    for (int r = 0; r < kDepth; ++r) {
      client.ids.push_back("c" + std::to_string(c) + "r" + std::to_string(r));
      bytes += kit::Request("GET", "/hucu512/" + client.ids.back(),
                            "lopu12.example", client.ids.back(), kDeadlineMs,
                            700 + 500 * r);
      kit::Record("client sends %s", client.ids.back().c_str());
    }
    kit::SendAll(client.fd, bytes);
  }
  std::vector<std::thread> readers;
  for (Client& client : clients) {
    readers.emplace_back(Read, std::ref(client));
  }
  kit::SleepMs(300);
  if (kit::Trouble()) {
    kit::Record("SIGTERM to %s", edges[0].name.c_str());
    kill(edges[0].pid, SIGTERM);
  }
  for (std::thread& reader : readers) {
    reader.join();
  }
  kit::SleepMs(200);

  int lost = 0;
  int served = 0;
  int other = 0;
  for (const Client& client : clients) {
    for (size_t r = 0; r < client.ids.size(); ++r) {
      const auto runs = kit::RunsOf(client.ids[r]);
      const std::string& outcome = client.outcomes[r];
      served += outcome == "served" ? 1 : 0;
      if (outcome == "served") {
        continue;
      }
      if (outcome == "closed" && !runs.empty()) {
        ++lost;
        kit::Record("LOST %s: began at %.3f at %s, %s", client.ids[r].c_str(),
                    runs[0].began, runs[0].upstream.c_str(),
                    runs[0].is_cut ? "cut off" : "ran to its end");
      } else {
        ++other;
      }
    }
  }
  kit::Record("served %d, passed on and then closed without an answer %d, "
              "other %d",
              served, lost, other);
  printf("served %d, lost %d, other %d\n", served, lost, other);
  fflush(stdout);
  if (served + lost == 0 || (!kit::Trouble() && other > 0)) {
    kit::Exit(2);
  }
  kit::Exit(lost > 0 ? 1 : 0);
}
