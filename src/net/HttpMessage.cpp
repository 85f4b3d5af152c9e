#include "src/net/HttpMessage.h"

#include <algorithm>

#include "absl/strings/match.h"

namespace foxtailbarrow::net {

namespace {

/// Reserved at the first header to avoid repeated reallocation.
constexpr std::size_t kUsualHeaders = 8;

bool SameName(std::string_view aLeft, std::string_view aRight)
{
  return absl::EqualsIgnoreCase(
    absl::string_view(aLeft.data(), aLeft.size()),
    absl::string_view(aRight.data(), aRight.size()));
}

} // namespace

void HttpHeaders::Set(std::string_view aName, std::string_view aValue)
{
  for (HttpHeader& header : mHeaders) {
    if (SameName(header.mName, aName)) {
      header.mValue = aValue;
      return;
    }
  }
  mHeaders.push_back({ std::string(aName), std::string(aValue) });
}

void HttpHeaders::Append(std::string_view aName, std::string_view aValue)
{
  if (mHeaders.capacity() == 0) {
    mHeaders.reserve(kUsualHeaders);
  }
  mHeaders.push_back({ std::string(aName), std::string(aValue) });
}

void HttpHeaders::Erase(std::string_view aName)
{
  std::erase_if(mHeaders, [aName](const HttpHeader& aHeader) {
    return SameName(aHeader.mName, aName);
  });
}

std::optional<std::string_view> HttpHeaders::Find(std::string_view aName) const
{
  for (const HttpHeader& header : mHeaders) {
    if (SameName(header.mName, aName)) {
      return header.mValue;
    }
  }
  return std::nullopt;
}

} // namespace foxtailbarrow::net
