// Case 2: another writer puts an entry among the upstreams' whose field has
// another type, nested deeply. See claim.txt.

#include "review/kit/deployment.h"
#include "review/kit/kept_client.h"

using namespace kit;

namespace {

// Levels of the nested list; the value stays below ValueBytes
// (1,048,576).
constexpr size_t kLevels = 400000;
// A process that ended is started again after this delay.
constexpr int kRestartDelayMs = 500;
constexpr int kClients = 12;
// The rule LOST: "more than three times".
constexpr int kLostAllowed = 3;

std::string ForeignEntry() {
  return R"({"Service":)" + std::string(kLevels, '[') +
         std::string(kLevels, ']') +
         R"(,"Address":"127.0.0.1:9","Zone":"vantaa-a","Version":"v1",)"
         R"("Slots":4,"State":"ready","ColdLeftS":0,"Sequence":1})";
}

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  const bool has_trouble = HasTrouble();
  TemporaryFolder folder;
  StoreProcess store(folder.Path());
  if (!store.Start()) {
    return CannotRun(record, "the store does not start");
  }
  const StoreWriter writer(store.Where());
  Ledger ledger;
  const auto work_ms = [](const Message&) { return 300; };
  std::vector<std::unique_ptr<Upstream>> upstreams;
  for (int one = 0; one < 2; ++one) {
    upstreams.push_back(std::make_unique<Upstream>(
        MakeEntry("i-" + std::to_string(one), "zaliczenia", kZones[one],
                  20 + one),
        ledger, record, work_ms));
    if (!upstreams.back()->Start()) {
      return CannotRun(record, "an upstream does not start");
    }
    const ServerEntry& entry = upstreams.back()->Entry();
    writer.Put("servers/" + entry.id, entry.Text());
  }
  writer.Put("op/config", Config(7, {{"r-signoff", "/signoff/",
                                      "non_idempotent", 3, "zaliczenia"}},
                                 {"zaliczenia"}));
  const Vm::Ports ports = FreePorts(Ip(10));
  std::vector<std::unique_ptr<Vm>> vms;
  for (int one = 0; one < 2; ++one) {
    VmSettings settings;
    settings.name = "edge-" + std::to_string(one + 1);
    settings.zone = kZones[one];
    settings.zones = kZones;
    settings.ip = Ip(10 + one);
    settings.store = store.Where();
    vms.push_back(std::make_unique<Vm>(settings, ports, folder.Path()));
    vms.back()->Child().Start();
  }
  for (const auto& vm : vms) {
    if (!vm->WaitUntilReady(10)) {
      return CannotRun(record, "a machine does not get ready");
    }
  }
  SleepMs(4000);

  std::atomic<bool> is_over{false};
  KeptCounts counts;
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      KeptClient{"c" + std::to_string(client), "/signoff/", 3000, 20}.Run(
          *vms[client % 2], ledger, record, counts, is_over);
    });
  }

  SleepMs(1500);
  if (has_trouble) {
    writer.Put("servers/i-foreign", ForeignEntry());
    record.Line("writer   puts servers/i-foreign, %zu bytes, whose Service is a "
                "list of lists", ForeignEntry().size());
  }
  std::map<std::string, int> ends;
  const double until = record.Now() + 12;
  while (record.Now() < until) {
    for (const auto& vm : vms) {
      if (const auto status = vm->Child().Ended()) {
        ++ends[vm->Name()];
        record.Line("platform %s ended by itself: %s", vm->Name().c_str(),
                    DescribeStatus(*status).c_str());
        SleepMs(kRestartDelayMs);
        vm->Child().Start();
      }
    }
    SleepMs(20);
  }
  is_over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (const auto& vm : vms) {
    vm->Child().Kill();
  }
  for (const auto& upstream : upstreams) {
    upstream->Stop();
  }
  int machines = 0;
  for (const auto& [name, count] : ends) {
    record.Line("verdict  %s ended by itself %d times", name.c_str(), count);
    machines += count >= 3 ? 1 : 0;
  }
  record.Line("verdict  %d requests were answered, %d were passed on from a "
              "kept connection to a sound upstream and never answered",
              counts.answered.load(), counts.lost.load());
  record.Line("verdict  Fault (two machines at least, three ends each): %s",
              machines >= 2 ? "yes" : "no");
  const bool is_broken = counts.lost > kLostAllowed;
  record.Line("verdict  LOST is %s", is_broken ? "broken" : "kept");
  return is_broken ? kBroken : kHeld;
}
