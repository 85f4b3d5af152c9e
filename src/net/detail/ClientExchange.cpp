#include "src/net/detail/ClientExchange.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/http/error.hpp>

#include "absl/strings/str_cat.h"

#include "foxtailbarrow/Verdict.h"
#include "src/net/ConnectionRefused.h"
#include "src/net/detail/MessageReader.h"
#include "src/net/detail/MessageWriter.h"

namespace foxtailbarrow::net::detail {

namespace {

constexpr std::size_t kMaxHeaderBytes = 64UL * 1024;
constexpr unsigned kFirstFinalStatus = 200;
/// Responses such as "100 Continue" before the final one.
constexpr int kMaxInterimResponses = 16;
constexpr unsigned kOk = 200;

absl::Status NotRun(absl::Status aStatus)
{
  return WithVerdict(std::move(aStatus), Verdict::NotRun);
}

absl::Status MayHaveRun(absl::Status aStatus)
{
  return WithVerdict(std::move(aStatus), Verdict::MayHaveRun);
}

absl::Status ToStatus(const ErrorCode& aError, std::string_view aDoing)
{
  const absl::string_view doing(aDoing.data(), aDoing.size());
  if (aError == boost::asio::error::timed_out) {
    return absl::DeadlineExceededError(absl::StrCat(doing, ": timed out"));
  }
  if (aError == http::error::body_limit ||
      aError == http::error::header_limit) {
    return absl::ResourceExhaustedError(
      absl::StrCat(doing, ": ", aError.message()));
  }
  return absl::UnavailableError(absl::StrCat(doing, ": ", aError.message()));
}

/// Reads until the parser has the complete message.
ErrorCode ReadMessage(Connection& aConnection,
                      ResponseParser& aParser,
                      TimePoint aDeadline)
{
  MessageReader reader(aConnection, kMaxHeaderBytes);
  for (;;) {
    ErrorCode error = reader.Parse(aParser);
    // Without a length, a truncated body cannot be detected.
    if (!error && aParser.is_header_done() && aParser.need_eof()) {
      error = http::error::bad_content_length;
    }
    if (error || aParser.is_done()) {
      return error;
    }
    if (error = reader.Read(aDeadline); error) {
      return error;
    }
  }
}

/// Passes complete lines to `aOnLine` and keeps the rest. Returns false once
/// `aOnLine` does.
bool ConsumeLines(std::string& aText,
                  const std::function<bool(std::string_view)>& aOnLine)
{
  std::size_t begin = 0;
  bool more = true;
  for (;;) {
    const std::size_t end = aText.find('\n', begin);
    if (end == std::string::npos || !more) {
      break;
    }
    more = aOnLine(std::string_view(aText).substr(begin, end - begin));
    begin = end + 1;
  }
  aText.erase(0, begin);
  return more;
}

} // namespace

absl::StatusOr<std::unique_ptr<Connection>> OpenConnection(
  boost::asio::io_context& aIo,
  const Endpoint& aEndpoint,
  TimePoint aDeadline,
  Duration aConnectTimeout)
{
  ErrorCode error;
  const auto address =
    boost::asio::ip::make_address_v4(aEndpoint.mAddress, error);
  if (error) {
    return NotRun(absl::InvalidArgumentError(
      absl::StrCat("not an IPv4 address: ", aEndpoint.mAddress)));
  }
  const TimePoint end = std::min<TimePoint>(
    aDeadline, std::chrono::steady_clock::now() + aConnectTimeout);
  auto connection = std::make_unique<Connection>(aIo);
  error = connection->Connect({ address, aEndpoint.mPort }, end);
  if (error) {
    const std::string doing =
      absl::StrCat("connecting to ", ToString(aEndpoint));
    if (error == boost::asio::error::connection_refused) {
      return NotRun(WithConnectionRefused(ToStatus(error, doing)));
    }
    const bool ownTimeout = error == boost::asio::error::timed_out &&
                            std::chrono::steady_clock::now() < aDeadline;
    return NotRun(ownTimeout
                    ? absl::UnavailableError(absl::StrCat(doing, ": timed out"))
                    : ToStatus(error, doing));
  }
  return connection;
}

absl::Status WriteRequest(Connection& aConnection,
                          const Endpoint& aEndpoint,
                          const HttpRequest& aRequest,
                          TimePoint aDeadline)
{
  if (!IsSafeText(aRequest.mTarget) || !IsSafeText(aRequest.mMethod)) {
    return NotRun(absl::InvalidArgumentError("line break in method or target"));
  }
  std::string& head = aConnection.Scratch();
  head.clear();
  AppendHead(head, aRequest, ToString(aEndpoint));
  std::string_view body = aRequest.mBody;
  if (body.size() <= kMaxCopiedBody) {
    head.append(std::exchange(body, {}));
  }
  std::size_t written = 0;
  if (const ErrorCode error =
        aConnection.Write(head, body, aDeadline, written)) {
    absl::Status status = ToStatus(error, "writing the request");
    return written == 0 ? NotRun(std::move(status))
                        : MayHaveRun(std::move(status));
  }
  return absl::OkStatus();
}

absl::StatusOr<ReceivedResponse> ReadResponse(Connection& aConnection,
                                              bool aIsHeadRequest,
                                              std::size_t aMaxBodyBytes,
                                              TimePoint aDeadline)
{
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    ReceivedResponse received;
    ResponseParser parser(received.mResponse, kMaxHeaderBytes, aMaxBodyBytes);
    parser.skip(aIsHeadRequest);
    if (const ErrorCode error = ReadMessage(aConnection, parser, aDeadline)) {
      return MayHaveRun(ToStatus(error, "reading the response"));
    }
    if (received.mResponse.mStatus >= kFirstFinalStatus) {
      received.mReusable =
        parser.keep_alive() && aConnection.Buffered().empty();
      return received;
    }
  }
  return MayHaveRun(absl::ResourceExhaustedError("too many interim responses"));
}

absl::Status ReadLines(Connection& aConnection,
                       std::size_t aMaxLineBytes,
                       Duration aIdleTimeout,
                       const std::function<bool(std::string_view)>& aOnLine)
{
  const auto deadline = [aIdleTimeout] {
    return std::chrono::steady_clock::now() + aIdleTimeout;
  };
  HttpResponse response;
  ResponseParser parser(response, kMaxHeaderBytes, aMaxLineBytes);
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  MessageReader reader(aConnection, kMaxHeaderBytes);
  ErrorCode error;
  for (;;) {
    if (!error) {
      error = reader.Parse(parser);
    }
    if (error) {
      return MayHaveRun(ToStatus(error, "reading the stream"));
    }
    if (parser.is_header_done() && response.mStatus != kOk) {
      return MayHaveRun(absl::UnavailableError(
        absl::StrCat("stream answered with status ", response.mStatus)));
    }
    if (!ConsumeLines(response.mBody, aOnLine)) {
      return absl::OkStatus();
    }
    if (response.mBody.size() > aMaxLineBytes) {
      return MayHaveRun(absl::ResourceExhaustedError("line too long"));
    }
    if (parser.is_done()) {
      return MayHaveRun(absl::UnavailableError("stream ended by the server"));
    }
    error = reader.Read(deadline());
  }
}

} // namespace foxtailbarrow::net::detail
