/// @file told_objects_type.h A service's objects as one entry VM tells others.

#ifndef SORRELPLANK_STEER_TOLD_OBJECTS_TYPE_H_
#define SORRELPLANK_STEER_TOLD_OBJECTS_TYPE_H_

#include "core/ids_type.h"
#include "steer/object_places.h"
#include "steer/object_sketch.h"

namespace sorrelplank {

/// The objects that the VM was asked for lately, and how it places them.
struct ToldObjects {
  /// Of the service's name.
  NameHash m_service;
  ObjectSketch m_seen;
  Placement m_placement = Placement::kTwoARegion;
};

}  // namespace sorrelplank

#endif  // SORRELPLANK_STEER_TOLD_OBJECTS_TYPE_H_
