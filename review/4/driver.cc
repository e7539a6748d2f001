// Many clients read the same page. The upstreams of one zone crash at once
// while they work on it; eight of twelve upstreams stay sound. Later all
// processes of the system are killed, which is the final fault, and start again.
// Of the requests sent later than RecoveryS after that a quarter has to be
// served.
#include "../kit-2/kit.hpp"

namespace {

struct Zone {
  const char* name;
  const char* region;
  int upstreams;
};
constexpr Zone kZones[] = {{"vantaa-a", "uusimaa", 4},
                           {"tampere-a", "pirkanmaa", 4},
                           {"rovaniemi-a", "lappi", 4}};
constexpr int kEdgesPerZone = 2;
// The zone whose upstreams crash is the first one.
constexpr int kCrashing = kZones[0].upstreams;
constexpr int kWorkMs = 400;
constexpr int kDeadlineMs = 3000;
constexpr int kIntervalMs = 10;
constexpr double kRecoveryS = 15;

struct Sent {
  double at = 0;
  int status = 0;  // 0: no answer.
};
std::mutex g_sent_mutex;
std::vector<Sent> g_sent;

void SendOne(const kit::Edge& edge, int number) {
  Sent sent;
  sent.at = kit::Now();
  const std::string id = "q" + std::to_string(number);
  // The same content for all: method, path and key. Only the id differs.
  const std::string request =
      "GET /kaba81/board HTTP/1.1\r\nHost: wemi33.example\r\n"
      "Sorrelplank-Request-Id: " +
      id +
      "\r\nSorrelplank-Affinity-Key: 17\r\nSorrelplank-Deadline-Ms: " +
      std::to_string(kDeadlineMs) + "\r\nx-work-ms: " +
      std::to_string(kWorkMs) + "\r\n\r\n";
  const int fd = kit::Connect(edge.ip, edge.front);
  if (fd >= 0) {
    if (kit::SendAll(fd, request)) {
      kit::Reader reader(fd);
      const kit::Message answer = reader.Read(kDeadlineMs + 500);
      if (answer.complete) {
        const bool is_own = answer.body == "answer to " + id + "\n";
        sent.status = answer.Status() == 200 && !is_own ? 1 : answer.Status();
        kit::Record("client: %s at %s gets %d %s", id.c_str(),
                    edge.name.c_str(), answer.Status(),
                    answer.Status() == 200
                        ? ""
                        : (answer.body + " Retry-After " +
                           answer.Get("retry-after"))
                              .c_str());
      }
    }
    close(fd);
  }
  std::lock_guard lock(g_sent_mutex);
  g_sent.push_back(sent);
}

double ServedShare(double from, double until, int& count) {
  std::lock_guard lock(g_sent_mutex);
  int served = 0;
  count = 0;
  for (const Sent& sent : g_sent) {
    if (sent.at >= from && sent.at < until) {
      ++count;
      served += sent.status == 200 ? 1 : 0;
    }
  }
  return count == 0 ? 0 : static_cast<double>(served) / count;
}

}  // namespace

int main(int argc, char** argv) {
  const kit::Setup setup = kit::Begin(argc, argv);
  kit::Store store;
  store.Start(setup.platform, setup.folder + "/store.log");
  const std::string config =
      R"({"Version":"r1","Routes":{"Columns":["Name","Host","Prefix","Service",
"Kind","TimeoutS","TargetLatencyS","Priority","MaxAttempts"],"Rows":[
["lookup","wemi33.example","/kaba81/","standview","idempotent",2.5,0.5,2,2]]},
"Services":{"Columns":["Name","HealthPath","MaxConns","ColdStartS","ColdPerS"],
"Rows":[["standview","/health",390,3.0,4.0]]},"Limits":{"MaxHeaderBytes":8192,
"MaxBodyBytes":1048576,"HeaderTimeoutS":3.0,"IdleTimeoutS":15.0}})";
  if (store.Put("op/config", config) != 200) {
    kit::CannotRun("the store refuses the configuration");
  }
  std::vector<std::unique_ptr<kit::Upstream>> upstreams;
  std::vector<kit::Edge> edges;
  for (const Zone& zone : kZones) {
    for (int i = 0; i < zone.upstreams; ++i) {
      const int number = static_cast<int>(upstreams.size());
      upstreams.push_back(std::make_unique<kit::Upstream>(
          store, "i-view" + std::to_string(number), "standview", zone.name, 4,
          kit::Ip(100 + number)));
    }
    for (int i = 0; i < kEdgesPerZone; ++i) {
      edges.push_back(kit::MakeEdge(store, setup.folder,
                                    static_cast<int>(edges.size()) + 1,
                                    zone.name, zone.region));
      kit::StartEdge(edges.back(), setup.edge);
    }
  }
  for (const kit::Edge& edge : edges) {
    kit::WaitReady(edge);
  }
  kit::SleepMs(4500);  // ContactS is 4: all is calm.

  std::atomic<bool> is_over{false};
  // The clients' zones have the same load, as on the site.
  std::thread traffic([&] {
    for (int number = 0; !is_over; ++number) {
      std::thread(SendOne, std::cref(edges[number % edges.size()]), number)
          .detach();
      kit::SleepMs(kIntervalMs);
    }
  });
  const double began = kit::Now();
  kit::SleepMs(6000);
  const double crashed = kit::Now();
  if (kit::Trouble()) {
    for (int i = 0; i < kCrashing; ++i) {
      upstreams[i]->Crash();
    }
    kit::SleepMs(4500);
    for (int i = 0; i < kCrashing; ++i) {
      upstreams.push_back(std::make_unique<kit::Upstream>(
          store, "i-again" + std::to_string(i), "standview", kZones[0].name, 4,
          kit::Ip(120 + i)));
    }
  } else {
    kit::SleepMs(4500);
  }
  kit::SleepMs(3000);
  const double killed = kit::Now();
  if (kit::Trouble()) {
    for (kit::Edge& edge : edges) {
      kill(edge.pid, SIGKILL);
      kit::WaitEnd(edge.pid, 2000);
    }
    kit::Record("all processes of the system are killed");
    kit::SleepMs(1000);
    for (kit::Edge& edge : edges) {
      kit::StartEdge(edge, setup.edge);
    }
    for (const kit::Edge& edge : edges) {
      kit::WaitReady(edge);
    }
  }
  const double back = kit::Now();
  kit::Record("all machines are back");
  kit::SleepMs(static_cast<int>(kRecoveryS * 1000) + 10000);
  is_over = true;
  traffic.join();
  kit::SleepMs(kDeadlineMs + 700);

  int calm_count = 0;
  int between_count = 0;
  int after_count = 0;
  const double calm = ServedShare(began, crashed, calm_count);
  const double between = ServedShare(crashed + 1, killed, between_count);
  const double after =
      ServedShare(back + kRecoveryS, back + kRecoveryS + 10, after_count);
  int before_count = 0;
  const double before = ServedShare(began, killed, before_count);
  kit::Record("served: %.3f of %d in calm, %.3f of %d between crash and final "
              "fault, %.3f of %d before the final fault, %.3f of %d sent "
              "later than RecoveryS after it",
              calm, calm_count, between, between_count, before, before_count,
              after, after_count);
  printf("calm %.3f of %d, between %.3f of %d, before %.3f of %d, after %.3f "
         "of %d\n",
         calm, calm_count, between, between_count, before, before_count, after,
         after_count);
  fflush(stdout);
  if (before < 0.25 || after_count < 50) {
    kit::Exit(2);
  }
  kit::Exit(after < 0.25 ? 1 : 0);
}
