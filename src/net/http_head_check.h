/// @file http_head_check.h Strict check of the head of an HTTP message.

#ifndef SORRELPLANK_NET_HTTP_HEAD_CHECK_H_
#define SORRELPLANK_NET_HTTP_HEAD_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sorrelplank {

/// Whether the character may be part of a field name (RFC 9110, 5.6.2).
bool IsTokenCharacter(char c);

/// Checks the bytes of a head as they arrive, next to http_parser, which lets
/// blanks in field names, folded lines and any number as a status pass. Two
/// readers that take such a head differently disagree about its fields and
/// about where the message ends.
///
/// The parser still has to check what this class does not: the method, the
/// form of the target, and the fields that frame the message.
class HttpHeadCheck {
 public:
  enum class Kind : uint8_t {
    kRequest,
    kResponse,
    kFields,  ///< Field lines without a first line.
  };

  explicit HttpHeadCheck(Kind kind);

  /// Checks bytes that follow the ones before; ignores what follows the head.
  void Feed(std::string_view bytes);
  /// False once a byte has been found that no valid head has there.
  bool IsValid() const { return m_state != State::kInvalid; }
  /// Begins with the next message.
  void Reset();

 private:
  enum class State : uint8_t {
    kBeforeFirstLine,
    kFirstLine,
    kFirstLineEnd,  ///< After the carriage return.
    kLineStart,
    kName,
    kValue,
    kValueEnd,  ///< After the carriage return.
    kHeadEnd,   ///< After the carriage return of the empty line.
    kDone,
    kInvalid,
  };

  State Next(char c);
  State NextInFirstLine(char c);
  bool MayFollowInFirstLine(char c) const;

  Kind m_kind;
  State m_state;
  /// Bytes of the first line so far.
  size_t m_line_bytes = 0;
};

/// Whether the line, with or without its end, is the status line of an HTTP/1.x
/// response.
bool IsStatusLine(std::string_view line);
/// Whether the line, with or without its end, is a header field.
bool IsFieldLine(std::string_view line);

}  // namespace sorrelplank

#endif  // SORRELPLANK_NET_HTTP_HEAD_CHECK_H_
