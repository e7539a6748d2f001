/// @file listener_capacity_test.cc Division of descriptors and memory.

#include "proxy/listener_capacity_func.h"

#include <criterion/criterion.h>

namespace sorrelplank {
namespace {

constexpr Listener kListeners[] = {Listener::kClients, Listener::kDirectory,
                                   Listener::kPeers,   Listener::kFeed,
                                   Listener::kReady,   Listener::kMetrics};

// Clients took the descriptors for servers, the store and other VMs.
Test(ListenerCapacity, AllListenersAreFull_Descriptors_AreLeftForTheVm) {
  for (const size_t descriptors : {256UL, 1024UL, 4100UL, 1000000UL}) {
    size_t sum = 0;
    for (const Listener listener : kListeners) {
      sum += CapacityOf(listener, {.m_descriptors = descriptors})
                 .m_max_connections;
    }
    cr_expect_leq(sum, descriptors * 4 / 5, "%zu of %zu", sum, descriptors);
  }
}

// Connections that send nothing took the memory that requests need.
Test(ListenerCapacity, AllListenersAreFull_Memory_IsLeftForRequests) {
  constexpr size_t kMemory = 160'000'000;
  size_t heads = 0;
  for (const Listener listener : kListeners) {
    heads += CapacityOf(listener,
                        {.m_descriptors = 100'000, .m_memory_bytes = kMemory})
                 .m_max_head_bytes;
  }
  cr_expect_leq(heads, kMemory / 10);
  cr_expect_leq(CapacityOf(Listener::kClients, {.m_descriptors = 100'000,
                                                .m_memory_bytes = kMemory})
                    .m_max_connections,
                1100);
}

// On a small VM some connections are always accepted.
Test(ListenerCapacity, FewDescriptors_EachListener_HasConnections) {
  for (const Listener listener : kListeners) {
    const HttpCapacity capacity = CapacityOf(
        listener, {.m_descriptors = 64, .m_memory_bytes = 1'000'000});
    cr_expect_geq(capacity.m_max_connections, 4);
  }
}

// Neither the settings nor the system's limit may be exceeded.
Test(ListenerCapacity, SettingsNameALimit_SmallerOne_Applies) {
  const size_t system = DescriptorLimit(0);
  cr_expect_gt(system, 0);
  cr_expect_eq(DescriptorLimit(system * 2), system);
  cr_expect_eq(DescriptorLimit(10), 10);
}

}  // namespace
}  // namespace sorrelplank
