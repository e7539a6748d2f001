/// @file http_head_check.cc State machine over the bytes of a head.

#include "net/http_head_check.h"

namespace sorrelplank {

namespace {

/// Form of a status line up to the status; 'd' stands for a digit, and 'c' for
/// the class of the status.
constexpr std::string_view kStatusLine = "HTTP/1.d cdd";

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < ' ' || byte == 0x7F;
}

/// Whether the character may be part of a field value or of a reason phrase.
bool IsTextCharacter(char c) {
  return c == '\t' || !IsControl(c);
}

bool HasForm(char c, char form) {
  switch (form) {
    case 'd':
      return IsDigit(c);
    case 'c':
      return c >= '1' && c <= '5';
    default:
      return c == form;
  }
}

std::string_view WithoutEnd(std::string_view line) {
  if (line.ends_with('\n')) {
    line.remove_suffix(1);
  }
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

/// Whether the line may come first where the check begins.
bool IsLine(HttpHeadCheck::Kind kind, std::string_view line) {
  const std::string_view text = WithoutEnd(line);
  HttpHeadCheck check(kind);
  check.Feed(text);
  check.Feed("\r\n");
  return check.IsValid() && !text.empty();
}

}  // namespace

bool IsTokenCharacter(char c) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return IsDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         kMarks.find(c) != std::string_view::npos;
}

HttpHeadCheck::HttpHeadCheck(Kind kind) : m_kind(kind) {
  Reset();
}

void HttpHeadCheck::Reset() {
  m_state =
      m_kind == Kind::kFields ? State::kLineStart : State::kBeforeFirstLine;
  m_line_bytes = 0;
}

void HttpHeadCheck::Feed(std::string_view bytes) {
  for (const char c : bytes) {
    if (m_state == State::kDone || m_state == State::kInvalid) {
      return;
    }
    m_state = Next(c);
  }
}

HttpHeadCheck::State HttpHeadCheck::Next(char c) {
  switch (m_state) {
    case State::kBeforeFirstLine:
      // Empty lines before a message are ignored (RFC 9112, 2.2).
      return c == '\r' || c == '\n' ? State::kBeforeFirstLine
                                    : NextInFirstLine(c);
    case State::kFirstLine:
      return NextInFirstLine(c);
    case State::kFirstLineEnd:
    case State::kValueEnd:
      return c == '\n' ? State::kLineStart : State::kInvalid;
    case State::kLineStart:
      if (c == '\r') {
        return State::kHeadEnd;
      }
      if (c == '\n') {
        return State::kDone;
      }
      // A blank here would continue the line before.
      return IsTokenCharacter(c) ? State::kName : State::kInvalid;
    case State::kName:
      if (c == ':') {
        return State::kValue;
      }
      return IsTokenCharacter(c) ? State::kName : State::kInvalid;
    case State::kValue:
      if (c == '\r') {
        return State::kValueEnd;
      }
      if (c == '\n') {
        return State::kLineStart;
      }
      return IsTextCharacter(c) ? State::kValue : State::kInvalid;
    case State::kHeadEnd:
      return c == '\n' ? State::kDone : State::kInvalid;
    case State::kDone:
    case State::kInvalid:
      return m_state;
  }
  return State::kInvalid;
}

HttpHeadCheck::State HttpHeadCheck::NextInFirstLine(char c) {
  const bool is_end = c == '\r' || c == '\n';
  if (is_end) {
    const bool is_complete =
        m_kind == Kind::kRequest || m_line_bytes >= kStatusLine.size();
    if (!is_complete) {
      return State::kInvalid;
    }
    return c == '\r' ? State::kFirstLineEnd : State::kLineStart;
  }
  if (!MayFollowInFirstLine(c)) {
    return State::kInvalid;
  }
  ++m_line_bytes;
  return State::kFirstLine;
}

bool HttpHeadCheck::MayFollowInFirstLine(char c) const {
  if (m_kind == Kind::kRequest) {
    return !IsControl(c);
  }
  if (m_line_bytes < kStatusLine.size()) {
    return HasForm(c, kStatusLine[m_line_bytes]);
  }
  return m_line_bytes == kStatusLine.size() ? c == ' ' : IsTextCharacter(c);
}

bool IsStatusLine(std::string_view line) {
  return IsLine(HttpHeadCheck::Kind::kResponse, line);
}

bool IsFieldLine(std::string_view line) {
  return IsLine(HttpHeadCheck::Kind::kFields, line);
}

}  // namespace sorrelplank
