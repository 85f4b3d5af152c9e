#pragma once

#include <cstddef>
#include <string_view>

#include <boost/beast/http/error.hpp>

#include "src/net/detail/Connection.h"
#include "src/net/detail/MessageParser.h"

namespace foxtailbarrow::net::detail {

/// Reads one message from a connection. Bounds the input that is buffered while
/// the parser waits for the rest of an element, and the input that is not body,
/// whatever element it belongs to.
class MessageReader
{
public:
  /// `aMaxHeaderBytes` bounds the header, the trailers, and any other element
  /// that the parser takes only as a whole.
  MessageReader(Connection& aConnection, std::size_t aMaxHeaderBytes)
    : mConnection(aConnection)
    , mMaxHeaderBytes(aMaxHeaderBytes)
  {
  }

  /// Passes the buffered input to the parser. Returns no error also if the
  /// message needs more input, http::error::header_limit above the bound.
  template<bool IsRequest, typename Message>
  ErrorCode Parse(MessageParser<IsRequest, Message>& aParser)
  {
    while (!aParser.is_done() && !mConnection.Buffered().empty()) {
      const std::string_view input =
        mConnection.Buffered().substr(0, mMaxHeaderBytes);
      ErrorCode error;
      const std::size_t used =
        aParser.put(boost::asio::buffer(input.data(), input.size()), error);
      mConnection.Consume(used);
      mConsumedBytes += used;
      if (error && error != http::error::need_more) {
        return error;
      }
      if (mConsumedBytes > MaxMessageBytes(aParser.BodyBytes())) {
        return http::error::header_limit;
      }
      if (used == 0) {
        break;
      }
    }
    return {};
  }

  /// Reads more input. Errors: as Connection::Read(), and
  /// http::error::header_limit if the input that the parser left is too large.
  ErrorCode Read(Connection::TimePoint aDeadline)
  {
    return mConnection.Buffered().size() < mMaxHeaderBytes
             ? mConnection.Read(aDeadline, mMaxHeaderBytes)
             : ErrorCode(http::error::header_limit);
  }

private:
  /// Above the framing of a body in chunks of one byte each.
  static constexpr std::size_t kMaxBytesPerBodyByte = 16;

  std::size_t MaxMessageBytes(std::size_t aBodyBytes) const
  {
    return 2 * mMaxHeaderBytes + kMaxBytesPerBodyByte * aBodyBytes;
  }

  Connection& mConnection;
  std::size_t mMaxHeaderBytes;
  std::size_t mConsumedBytes = 0;
};

} // namespace foxtailbarrow::net::detail
