/// @file heap.cc Settings of glibc's malloc.

#include <malloc.h>

#include <algorithm>
#include <stdexcept>

#include "net/heap_func.h"

namespace sorrelplank {

namespace {

/// Buffers from this size on are large. Without a fixed value, glibc raises its
/// own with each large buffer that is freed.
constexpr size_t kLargeBufferBytes = size_t{32} * 1024;
/// Growing buffers up to this size stay in the heap.
constexpr size_t kSmallBufferBytes = size_t{4} * 1024;
/// A large buffer grows by one part in this many.
constexpr size_t kGrowthDivisor = 4;

}  // namespace

void SeparateLargeBuffers() {
  if (mallopt(M_MMAP_THRESHOLD, static_cast<int>(kLargeBufferBytes)) == 0) {
    throw std::runtime_error("the heap's threshold could not be set");
  }
}

size_t GrownCapacity(size_t bytes) {
  if (bytes <= kSmallBufferBytes / 2) {
    return 2 * bytes;
  }
  if (bytes <= kSmallBufferBytes) {
    return kSmallBufferBytes;
  }
  return std::max(kLargeBufferBytes, bytes + bytes / kGrowthDivisor);
}

}  // namespace sorrelplank
