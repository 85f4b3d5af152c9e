#pragma once

#include <memory>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "foxtailbarrow/Endpoint.h"
#include "src/net/HttpClient.h"
#include "src/net/HttpMessage.h"
#include "src/net/detail/Connection.h"

namespace foxtailbarrow::net::detail {

using TimePoint = Connection::TimePoint;

/// Opens a connection. All errors are NotRun.
absl::StatusOr<std::unique_ptr<Connection>> OpenConnection(
  boost::asio::io_context& aIo,
  const Endpoint& aEndpoint,
  TimePoint aDeadline,
  Duration aConnectTimeout);

/// Writes a request. Errors are NotRun if the kernel accepted no byte, else
/// MayHaveRun.
absl::Status WriteRequest(Connection& aConnection,
                          const Endpoint& aEndpoint,
                          const HttpRequest& aRequest,
                          TimePoint aDeadline);

struct ReceivedResponse
{
  HttpResponse mResponse;
  bool mReusable = false; ///< The connection may carry another request.
};

/// Reads a complete response. All errors are MayHaveRun.
absl::StatusOr<ReceivedResponse> ReadResponse(Connection& aConnection,
                                              bool aIsHeadRequest,
                                              std::size_t aMaxBodyBytes,
                                              TimePoint aDeadline);

/// Reads a streamed response line by line; see HttpClient::Stream().
absl::Status ReadLines(Connection& aConnection,
                       std::size_t aMaxLineBytes,
                       Duration aIdleTimeout,
                       const std::function<bool(std::string_view)>& aOnLine);

} // namespace foxtailbarrow::net::detail
