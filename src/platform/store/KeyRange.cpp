#include "src/platform/store/KeyRange.h"

namespace foxtailbarrow {

bool KeyRange::Contains(std::string_view aKey) const
{
  return aKey >= mBegin && (!mEnd || aKey < *mEnd);
}

KeyRange KeyRange::Single(std::string_view aKey)
{
  KeyRange range{ std::string(aKey), std::string(aKey) };
  range.mEnd->push_back('\0');
  return range;
}

KeyRange KeyRange::Prefix(std::string_view aPrefix)
{
  std::string end(aPrefix);
  while (!end.empty() && end.back() == '\xff') {
    end.pop_back();
  }
  if (end.empty()) {
    return { std::string(aPrefix), std::nullopt };
  }
  end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
  return { std::string(aPrefix), std::move(end) };
}

} // namespace foxtailbarrow
