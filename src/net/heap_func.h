/// @file heap_func.h Buffers of bodies and the C library's heap.

#ifndef SORRELPLANK_NET_HEAP_FUNC_H_
#define SORRELPLANK_NET_HEAP_FUNC_H_

#include <cstddef>

namespace sorrelplank {

/// Gives each large buffer pages of its own, which return to the system when it
/// is freed. In the heap, buffers of bodies that grow side by side leave gaps
/// that no other buffer fits into, several times the memory that is in use.
/// Throws std::runtime_error if the C library refuses.
void SeparateLargeBuffers();

/// Capacity in bytes for a buffer that has to hold so many bytes and will grow.
/// Buffers of more than a few kilobytes are large ones.
size_t GrownCapacity(size_t bytes);

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_HEAP_FUNC_H_
