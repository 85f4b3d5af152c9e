#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Names of the outside world (of racks, services, queues, zones and workers)
/// may be any text. Identifiers in records and messages are 1 to 128 characters
/// of [A-Za-z0-9._:-], in every version of this project.
namespace foxtailbarrow {

/// The identifier that stands for a name: the name itself if it is one, else an
/// encoding of it. Equal names have equal identifiers and different names have
/// different ones; those of names that are too long to be encoded differ by a
/// hash of 128 bits.
std::string IdFromName(std::string_view aName);

/// Inverse of IdFromName(); nullopt for a name that was too long.
std::optional<std::string> NameFromId(std::string_view aId);

/// True for a text that is an identifier as it stands.
bool IsIdentifier(std::string_view aText);

} // namespace foxtailbarrow
