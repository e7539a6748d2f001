/// @file vm_capacity_type.h What an entry VM has to work with.

#ifndef SORRELPLANK_STEER_VM_CAPACITY_TYPE_H_
#define SORRELPLANK_STEER_VM_CAPACITY_TYPE_H_

namespace sorrelplank {

/// Zero where it is not known.
struct VmCapacity {
  /// Processor, in cores of usual speed.
  double m_cores = 0;
  double m_link_mbps = 0;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_VM_CAPACITY_TYPE_H_
