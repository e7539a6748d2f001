/// @file vm_capacity_type.h Processor and network capacity of an entry VM.

#ifndef SORRELPLANK_STEER_VM_CAPACITY_TYPE_H_
#define SORRELPLANK_STEER_VM_CAPACITY_TYPE_H_

namespace sorrelplank {

/// Zero means unknown.
struct VmCapacity {
  /// Processor capacity in cores of usual speed.
  double m_cores = 0;
  double m_link_mbps = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_VM_CAPACITY_TYPE_H_
