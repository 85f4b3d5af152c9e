#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace foxtailbarrow {

/// One header of a stored answer.
struct StoredHeader
{
  std::string mName;
  std::string mValue;
};

/// A backend server's answer, stored for later attempts under the same
/// idempotency key.
struct StoredAnswer
{
  unsigned mStatus = 200;
  std::vector<StoredHeader> mHeaders;
  std::string mBody;

  /// Total size of the headers and the body.
  std::size_t Bytes() const
  {
    std::size_t bytes = mBody.size();
    for (const StoredHeader& header : mHeaders) {
      bytes += header.mName.size() + header.mValue.size();
    }
    return bytes;
  }
};

} // namespace foxtailbarrow
