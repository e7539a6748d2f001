/// @file invariant_func.h Runtime checks that are active in every build type.

#ifndef SORRELPLANK_CORE_INVARIANT_FUNC_H_
#define SORRELPLANK_CORE_INVARIANT_FUNC_H_

#include <stdexcept>
#include <string>

namespace sorrelplank {

/// Thrown when a guarantee of the program would be violated.
class InvariantError : public std::logic_error {
 public:
  using std::logic_error::logic_error;
};

/// Throws InvariantError with the message and source location unless the
/// condition holds.
inline void Invariant(bool holds,
                      const char* message,
                      const char* file = __builtin_FILE(),
                      int line = __builtin_LINE()) {
  if (holds) {
    return;
  }
  throw InvariantError(std::string(message) + " at " + file + ":" +
                       std::to_string(line));
}

}  // namespace sorrelplank

#endif  // SORRELPLANK_CORE_INVARIANT_FUNC_H_
