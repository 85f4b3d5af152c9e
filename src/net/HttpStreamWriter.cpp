#include "src/net/HttpStreamWriter.h"

#include <utility>

#include "absl/strings/str_cat.h"

#include "src/net/detail/Connection.h"

namespace foxtailbarrow::net {

HttpStreamWriter::HttpStreamWriter(detail::Connection& aConnection,
                                   std::chrono::microseconds aTimeout,
                                   std::function<bool()> aEnding)
  : mConnection(aConnection)
  , mTimeout(aTimeout)
  , mEnding(std::move(aEnding))
{
}

bool HttpStreamWriter::WriteLine(std::string_view aLine)
{
  if (IsClosed()) {
    return false;
  }
  mChunk.clear();
  absl::StrAppend(&mChunk, absl::Hex(aLine.size() + 1), "\r\n");
  mChunk.append(aLine).append("\n\r\n");
  std::size_t written = 0;
  const auto deadline = std::chrono::steady_clock::now() + mTimeout;
  mClosed = static_cast<bool>(mConnection.Write(mChunk, {}, deadline, written));
  return !mClosed;
}

bool HttpStreamWriter::IsClosed()
{
  mClosed = mClosed || mEnding() || mConnection.Stale();
  return mClosed;
}

} // namespace foxtailbarrow::net
