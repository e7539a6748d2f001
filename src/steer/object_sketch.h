/// @file object_sketch.h Counts different objects in a few bytes.

#ifndef SORRELPLANK_STEER_OBJECT_SKETCH_H_
#define SORRELPLANK_STEER_OBJECT_SKETCH_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace sorrelplank {

/// A HyperLogLog of 32 registers: the number of different objects that several
/// VMs saw, from the union of what each saw, with an error of about a fifth.
class ObjectSketch {
 public:
  static constexpr size_t kRegisters = 32;

  void Add(uint64_t object);
  void Merge(const ObjectSketch& other);
  double Estimate() const;

  /// One byte a register.
  std::string ToBytes() const;
  /// Bytes of another length or out of range name no object.
  static ObjectSketch FromBytes(const std::string& bytes);

  bool operator==(const ObjectSketch&) const = default;

 private:
  std::array<uint8_t, kRegisters> m_registers{};
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_OBJECT_SKETCH_H_
