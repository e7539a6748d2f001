/// @file head_type.h The head record, which names the accepted configuration.

#ifndef SORRELPLANK_CONFIG_HEAD_TYPE_H_
#define SORRELPLANK_CONFIG_HEAD_TYPE_H_

#include <optional>
#include <string>
#include <vector>

#include "config/config_file_type.h"
#include "core/ids_type.h"

namespace sorrelplank {

/// A file of an accepted configuration, identified by the digest of its text.
struct HeadFile {
  std::string m_name;
  std::string m_digest;

  auto operator<=>(const HeadFile&) const = default;
};

/// The head record. Replaced by compare-and-swap only after every chunk that it
/// names has been written, so no reader ever sees an incomplete configuration.
struct Head {
  ConfigVersion m_version;
  /// Chosen by the operator's command, which recognises its own write by it.
  std::string m_change_id;
  std::vector<HeadFile> m_files;
  /// Change ids of this version and the versions before it, newest first. A
  /// command whose response was lost finds its write here, even after later
  /// writes by others.
  std::vector<std::string> m_history;

  /// Whether the change is part of this configuration.
  bool Contains(const std::string& change_id) const;
};

/// Digest of a chunk's text: XXH3, 128 bits, in hex. Detects corruption and
/// mix-ups, but not tampering: the platform controls who may write to it.
std::string DigestOf(const std::string& text);

std::string FormatHead(const Head& head);
/// Returns nothing if the text is not a valid head record.
std::optional<Head> ParseHead(const std::string& text);

/// Builds the head of some files; adds the change to the history.
Head MakeHead(const ConfigFiles& files,
              ConfigVersion version,
              std::string change_id,
              const std::vector<std::string>& history);

}  // namespace sorrelplank

#endif  // SORRELPLANK_CONFIG_HEAD_TYPE_H_
