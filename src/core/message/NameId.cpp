#include "src/core/message/NameId.h"

#include <algorithm>
#include <charconv>
#include <system_error>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include "src/core/message/detail/FieldRules.h"

namespace foxtailbarrow {

namespace {

/// Begins every encoded name. Names that begin so are encoded, too.
constexpr std::string_view kEncoded = "x:";
/// Followed by the two hexadecimal digits of a byte.
constexpr char kEscape = '.';
/// Separates the beginning of a name that is too long from the hash; never part
/// of an encoded name.
constexpr char kHashed = ':';
constexpr std::size_t kHashDigits = 32;

bool IsPlain(char aCharacter)
{
  return absl::ascii_isalnum(static_cast<unsigned char>(aCharacter)) ||
         aCharacter == '-' || aCharacter == '_';
}

void AppendEncoded(char aByte, std::string& aId)
{
  if (IsPlain(aByte)) {
    aId += aByte;
  } else {
    aId += kEscape;
    absl::StrAppend(
      &aId, absl::Hex(static_cast<unsigned char>(aByte), absl::kZeroPad2));
  }
}

std::string HashText(std::string_view aName)
{
  const XXH128_hash_t hash = XXH3_128bits(aName.data(), aName.size());
  return absl::StrCat(absl::Hex(hash.high64, absl::kZeroPad16),
                      absl::Hex(hash.low64, absl::kZeroPad16));
}

std::optional<char> ByteOf(std::string_view aDigits)
{
  constexpr int kHexadecimal = 16;
  unsigned value = 0;
  const auto [end, error] = std::from_chars(
    aDigits.data(), aDigits.data() + aDigits.size(), value, kHexadecimal);
  if (error != std::errc() || end != aDigits.data() + aDigits.size()) {
    return std::nullopt;
  }
  return static_cast<char>(value);
}

} // namespace

bool IsIdentifier(std::string_view aText)
{
  constexpr std::string_view kOthers = "._:-";
  return !aText.empty() && aText.size() <= detail::kMaxIdBytes &&
         std::ranges::all_of(aText, [&](char aCharacter) {
           return absl::ascii_isalnum(static_cast<unsigned char>(aCharacter)) ||
                  kOthers.find(aCharacter) != std::string_view::npos;
         });
}

std::string IdFromName(std::string_view aName)
{
  if (IsIdentifier(aName) && !aName.starts_with(kEncoded)) {
    return std::string(aName);
  }
  std::string id(kEncoded);
  for (const char byte : aName) {
    AppendEncoded(byte, id);
    if (id.size() > detail::kMaxIdBytes) {
      id.resize(detail::kMaxIdBytes - kHashDigits - 1);
      return id + kHashed + HashText(aName);
    }
  }
  return id;
}

std::optional<std::string> NameFromId(std::string_view aId)
{
  if (!aId.starts_with(kEncoded)) {
    return std::string(aId);
  }
  constexpr std::size_t kByteDigits = 2;
  std::string name;
  for (std::size_t i = kEncoded.size(); i < aId.size(); ++i) {
    if (aId[i] == kHashed) {
      return std::nullopt;
    }
    if (aId[i] != kEscape) {
      name += aId[i];
      continue;
    }
    const auto byte = ByteOf(aId.substr(i + 1, kByteDigits));
    if (!byte) {
      return std::nullopt;
    }
    name += *byte;
    i += kByteDigits;
  }
  return name;
}

} // namespace foxtailbarrow
