/// @file object_sketch.cc Registers and the estimate from them.

#include "steer/object_sketch.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace sorrelplank {

namespace {

/// Bits of a hash that choose the register.
constexpr int kRegisterBits = 5;
/// Leading zeros that the rest of a hash can have, and one.
constexpr uint8_t kMostRank = 64 - kRegisterBits + 1;
/// Correction of the estimate for 32 registers, from the algorithm's paper.
constexpr double kAlpha = 0.697;
/// Below this many objects a register, empty registers tell more.
constexpr double kFewPart = 2.5;

}  // namespace

void ObjectSketch::Add(uint64_t object) {
  const uint64_t hash = XXH3_64bits(&object, sizeof(object));
  const size_t at = hash >> (64 - kRegisterBits);
  const auto rank = static_cast<uint8_t>(
      std::min<int>(std::countl_zero(hash << kRegisterBits) + 1, kMostRank));
  m_registers[at] = std::max(m_registers[at], rank);
}

void ObjectSketch::Merge(const ObjectSketch& other) {
  for (size_t at = 0; at < kRegisters; ++at) {
    m_registers[at] = std::max(m_registers[at], other.m_registers[at]);
  }
}

double ObjectSketch::Estimate() const {
  double sum = 0;
  for (const uint8_t rank : m_registers) {
    sum += std::ldexp(1.0, -rank);
  }
  const double estimate = kAlpha * kRegisters * kRegisters / sum;
  const auto empty = std::count(m_registers.begin(), m_registers.end(), 0);
  if (estimate <= kFewPart * kRegisters && empty > 0) {
    return kRegisters * std::log(static_cast<double>(kRegisters) /
                                 static_cast<double>(empty));
  }
  return estimate;
}

std::string ObjectSketch::ToBytes() const {
  return {m_registers.begin(), m_registers.end()};
}

ObjectSketch ObjectSketch::FromBytes(const std::string& bytes) {
  ObjectSketch sketch;
  const bool is_sound = bytes.size() == kRegisters &&
                        std::all_of(bytes.begin(), bytes.end(), [](char rank) {
                          return static_cast<uint8_t>(rank) <= kMostRank;
                        });
  if (is_sound) {
    std::copy(bytes.begin(), bytes.end(), sketch.m_registers.begin());
  }
  return sketch;
}

}  // namespace sorrelplank
