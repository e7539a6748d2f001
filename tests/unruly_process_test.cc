/// @file unruly_process_test.cc An entry VM's process among clients that are
/// not under our control.

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "tests/edge_vm.h"
#include "tests/unruly_crowd.h"

namespace sorrelplank {
namespace {

using Listener = EdgeVm::Listener;

constexpr size_t kMemoryMb = 96;
constexpr size_t kBytesPerMb = 1'000'000;
constexpr size_t kDescriptors = 256;
constexpr size_t kMaxBodyBytes = 1U << 20U;
constexpr size_t kMaxHeadBytes = 16U << 10U;
/// Bodies below this size are small for the VM.
constexpr size_t kSmallBodyBytes = 16000;

std::string Head(const std::string& method,
                 const std::string& target,
                 const std::string& fields) {
  return fmt::format(
      "{} {} HTTP/1.1\r\nHost: h.example\r\nSorrelplank-Request-Id: u\r\n"
      "Sorrelplank-Deadline-Ms: 60000\r\n{}",
      method, target, fields);
}

std::string Chunk(size_t bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'c'));
}

std::string Repeat(const std::string& text, size_t times) {
  std::string all;
  all.reserve(text.size() * times);
  for (size_t time = 0; time < times; ++time) {
    all += text;
  }
  return all;
}

/// A body with a length, in this many pieces, without its last byte.
UnrulyScript AnnouncedBody(size_t bytes, size_t pieces) {
  const size_t piece = (bytes - 1) / pieces;
  return {.m_begin = Head(
              "POST", "/read/never",
              fmt::format("Content-Length: {}\r\n\r\n", piece * pieces + 1)),
          .m_piece = std::string(piece, 'b'),
          .m_pieces = pieces,
          .m_end = "b"};
}

/// A body in chunks, without its last line.
UnrulyScript ChunkedBody(const std::string& piece, size_t pieces) {
  return {.m_begin =
              Head("POST", "/read/never", "Transfer-Encoding: chunked\r\n\r\n"),
          .m_piece = piece,
          .m_pieces = pieces,
          .m_end = "0\r\n\r\n"};
}

/// An entry VM and the clients that do not behave.
struct UnrulyFixture {
  std::unique_ptr<EdgeVm> m_vm;
  std::vector<std::unique_ptr<UnrulyCrowd>> m_crowds;

  void Start(size_t descriptors = 4100) {
    m_crowds.clear();
    m_vm.reset();
    m_vm = std::make_unique<EdgeVm>(
        EdgeVmOptions{.m_memory_mb = kMemoryMb, .m_descriptors = descriptors});
    cr_assert(m_vm->IsRequestServed());
  }
  void Join(Listener listener, const UnrulyScript& script, size_t clients) {
    m_crowds.push_back(std::make_unique<UnrulyCrowd>(*m_vm, listener, script));
    m_crowds.back()->Join(clients);
  }
  void ExpectServed(const char* when, const std::string& body = "") {
    cr_expect(m_vm->IsRequestServed("/read/ordinary", body), "%s", when);
  }
  void ExpectSound(size_t descriptors = 4100) {
    cr_log_info("peak of %zu bytes, %zu descriptors", m_vm->PeakMemory(),
                m_vm->OpenDescriptors());
    cr_expect(m_vm->IsAlive());
    cr_expect_leq(m_vm->PeakMemory(), kMemoryMb * kBytesPerMb,
                  "peak of %zu bytes", m_vm->PeakMemory());
    cr_expect_lt(m_vm->OpenDescriptors(), descriptors);
  }
  void ExpectServedAfterwards() {
    m_crowds.clear();
    ExpectServed("after the crowd has left", std::string(kMaxBodyBytes, 'b'));
    ExpectSound();
  }
};

std::unique_ptr<UnrulyFixture> g_fixture;

void SetUp() {
  g_fixture = std::make_unique<UnrulyFixture>();
}

void TearDown() {
  g_fixture.reset();
}

TestSuite(UnrulyClients, .init = SetUp, .fini = TearDown, .timeout = 600);

// Queries with thousands of parameters took a hundred times their size.
Test(UnrulyClients, QueriesOfManyParameters_Process_StaysWithinItsMemory) {
  std::string query;
  for (int number = 0; query.size() < kMaxHeadBytes - 300; ++number) {
    query += fmt::format("{:03x}=&", number);
  }
  g_fixture->Start();
  g_fixture->Join(Listener::kClients,
                  {.m_begin = Head("GET", "/read/never?" + query, "\r\n")},
                  400);
  g_fixture->ExpectServed("beside the crowd");
  g_fixture->ExpectServedAfterwards();
}

// Heads with many short fields took several times what was reserved for them.
Test(UnrulyClients, ManyShortFields_Process_StaysWithinItsMemory) {
  std::string fields;
  for (int number = 0; number < 90; ++number) {
    fields += fmt::format("f{}: v\r\n", number);
  }
  g_fixture->Start();
  // Small responses, so that little is expected of the next ones.
  g_fixture->Join(Listener::kClients,
                  {.m_begin = Repeat(Head("GET", "/read/x", "\r\n"), 16)}, 20);
  g_fixture->m_vm->RunFor(seconds(1));
  g_fixture->Join(
      Listener::kClients,
      {.m_begin = Repeat(Head("GET", "/read/never", fields + "\r\n"), 16)},
      500);
  g_fixture->m_vm->RunFor(seconds(1));
  g_fixture->ExpectServedAfterwards();
}

// Listeners without bodies kept the bodies that clients sent to them.
Test(UnrulyClients, BodiesAtOtherListeners_Process_StaysWithinItsMemory) {
  for (const auto listener : {Listener::kReady, Listener::kDirectory,
                              Listener::kMetrics, Listener::kFeed}) {
    g_fixture->Start();
    g_fixture->Join(listener, AnnouncedBody(kMaxBodyBytes, 1), 120);
    g_fixture->ExpectServed("beside the crowd");
    g_fixture->ExpectServedAfterwards();
  }
}

// Heads that were never completed were not counted.
Test(UnrulyClients, HeadsStopShort_Process_StaysWithinItsMemory) {
  for (const auto listener : {Listener::kClients, Listener::kDirectory}) {
    g_fixture->Start();
    g_fixture->Join(
        listener,
        {.m_begin =
             Head("GET", "/read/x",
                  fmt::format("a: {}\r\nb: {}\r\nc:", std::string(30000, 'v'),
                              std::string(30000, 'w')))},
        1200);
    g_fixture->ExpectServed("beside the crowd");
    g_fixture->ExpectServedAfterwards();
  }
}

// Bodies took more memory than their bytes: buffers that grow, and copies.
Test(UnrulyClients, BodiesStopShort_Process_StaysWithinItsMemory) {
  struct Crowd {
    UnrulyScript m_script;
    size_t m_clients;
  };
  const Crowd crowds[] = {{AnnouncedBody(kMaxBodyBytes, 1), 120},
                          {AnnouncedBody(kMaxBodyBytes, 128), 120},
                          {ChunkedBody(Chunk(60000), 17), 120},
                          {ChunkedBody(Chunk(4000), 60), 500},
                          {ChunkedBody(Chunk(500), 1900), 120},
                          {ChunkedBody(Repeat(Chunk(1), 1000), 300), 120}};
  for (const Crowd& crowd : crowds) {
    g_fixture->Start();
    g_fixture->Join(Listener::kClients, crowd.m_script, crowd.m_clients);
    g_fixture->ExpectServed("beside the crowd");
    g_fixture->ExpectServedAfterwards();
  }
}

// The same for many small bodies, of which each is far below any limit.
Test(UnrulyClients, SmallBodiesStopShort_Process_StaysWithinItsMemory) {
  g_fixture->Start();
  g_fixture->Join(Listener::kClients,
                  ChunkedBody(Repeat(Chunk(10), kSmallBodyBytes / 1000), 100),
                  1500);
  g_fixture->Join(Listener::kClients, ChunkedBody(Chunk(10), 20), 1500);
  g_fixture->ExpectServed("beside the crowd");
  g_fixture->ExpectServedAfterwards();
}

// Many bodies that were complete at once were copied for their servers.
Test(UnrulyClients, BodiesEndTogether_Process_StaysWithinItsMemory) {
  UnrulyScript script = ChunkedBody(Chunk(60000), 17);
  script.m_begin += Repeat(script.m_piece, script.m_pieces) + script.m_end;
  script.m_pieces = 0;
  script.m_end.clear();
  g_fixture->Start();
  g_fixture->Join(Listener::kClients, script, 120);
  g_fixture->m_vm->RunFor(seconds(1));
  g_fixture->ExpectServedAfterwards();
}

// Bodies that do not arrive held the memory, and nobody else could upload.
Test(UnrulyClients, BodiesStopShort_OrdinaryUpload_IsServedBesideThem) {
  g_fixture->Start();
  UnrulyScript script = AnnouncedBody(kMaxBodyBytes, 1);
  script.m_end.clear();
  g_fixture->Join(Listener::kClients, script, 120);
  g_fixture->ExpectServed("beside the crowd", std::string(kMaxBodyBytes, 'b'));
  g_fixture->ExpectServedAfterwards();
}

// Connections that send nothing took all descriptors, and nobody else got one.
Test(UnrulyClients, IdleConnections_OrdinaryRequest_IsServedBesideThem) {
  for (const auto listener :
       {Listener::kClients, Listener::kReady, Listener::kDirectory,
        Listener::kMetrics, Listener::kFeed, Listener::kPeers}) {
    g_fixture->Start(kDescriptors);
    g_fixture->Join(listener, {}, 2 * kDescriptors);
    cr_assert(g_fixture->m_vm->IsRequestServed());
    g_fixture->ExpectSound(kDescriptors);
  }
}

}  // namespace
}  // namespace sorrelplank
