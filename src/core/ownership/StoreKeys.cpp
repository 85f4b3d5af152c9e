#include "src/core/ownership/StoreKeys.h"

#include <charconv>

namespace foxtailbarrow {

namespace {

template<typename Number>
std::optional<Number> ParseNumber(std::string_view aKey,
                                  std::string_view aPrefix)
{
  if (!aKey.starts_with(aPrefix)) {
    return std::nullopt;
  }
  const std::string_view text = aKey.substr(aPrefix.size());
  const char* const end = text.data() + text.size();
  Number number{};
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

std::string EntryKey(const EntryId& aEntry)
{
  return std::string(kEntriesPrefix) + aEntry.Value();
}

std::string ShardKey(ShardId aShard)
{
  return std::string(kShardsPrefix) + std::to_string(aShard);
}

std::string TenureKey(StoreLease aTenure)
{
  return std::string(kTenuresPrefix) + std::to_string(aTenure);
}

std::optional<ShardId> ParseShardKey(std::string_view aKey)
{
  return ParseNumber<ShardId>(aKey, kShardsPrefix);
}

std::optional<StoreLease> ParseTenureKey(std::string_view aKey)
{
  return ParseNumber<StoreLease>(aKey, kTenuresPrefix);
}

} // namespace foxtailbarrow
