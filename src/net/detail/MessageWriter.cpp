#include "src/net/detail/MessageWriter.h"

#include <algorithm>
#include <charconv>
#include <ostream>

#include <boost/beast/http/status.hpp>

#include "absl/strings/match.h"

namespace foxtailbarrow::net::detail {

namespace {

constexpr std::size_t kMaxNumberChars = 20;

void AppendNumber(std::string& aOut, std::size_t aNumber)
{
  char digits[kMaxNumberChars];
  const auto [end, error] =
    std::to_chars(std::begin(digits), std::end(digits), aNumber);
  aOut.append(digits, end);
}

bool EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return absl::EqualsIgnoreCase(
    absl::string_view(aLeft.data(), aLeft.size()),
    absl::string_view(aRight.data(), aRight.size()));
}

/// Headers that the client and server set themselves.
bool IsConnectionHeader(std::string_view aName)
{
  switch (aName.size()) {
    case std::string_view("Host").size():
      return EqualsIgnoringCase(aName, "Host");
    case std::string_view("Connection").size():
      return EqualsIgnoringCase(aName, "Connection") ||
             EqualsIgnoringCase(aName, "Keep-Alive");
    case std::string_view("Content-Length").size():
      return EqualsIgnoringCase(aName, "Content-Length");
    case std::string_view("Transfer-Encoding").size():
      return EqualsIgnoringCase(aName, "Transfer-Encoding");
    default:
      return false;
  }
}

void AppendHeaders(std::string& aOut, const HttpHeaders& aHeaders)
{
  for (const auto& [name, value] : aHeaders.All()) {
    const bool passes = !name.empty() && IsSafeText(name) &&
                        IsSafeText(value) && !IsConnectionHeader(name);
    if (passes) {
      aOut.append(name).append(": ").append(value).append("\r\n");
    }
  }
}

void AppendLength(std::string& aOut, std::size_t aBytes)
{
  aOut.append("Content-Length: ");
  AppendNumber(aOut, aBytes);
  aOut.append("\r\n");
}

/// True for requests with a body and for methods that usually have one.
bool NeedsLength(const HttpRequest& aRequest)
{
  return !aRequest.mBody.empty() || aRequest.mMethod == "POST" ||
         aRequest.mMethod == "PUT" || aRequest.mMethod == "PATCH";
}

} // namespace

bool IsSafeText(std::string_view aText)
{
  return aText.find_first_of(std::string_view("\r\n\0", 3)) ==
         std::string_view::npos;
}

BodyFraming FramingOf(unsigned aStatus)
{
  constexpr unsigned kFirstFinal = 200;
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return aStatus < kFirstFinal || aStatus == kNoContent ||
             aStatus == kNotModified
           ? BodyFraming::None
           : BodyFraming::ContentLength;
}

void AppendHead(std::string& aOut,
                const HttpRequest& aRequest,
                std::string_view aHost)
{
  aOut.append(aRequest.mMethod).append(" ").append(aRequest.mTarget);
  aOut.append(" HTTP/1.1\r\nHost: ").append(aHost).append("\r\n");
  AppendHeaders(aOut, aRequest.mHeaders);
  if (NeedsLength(aRequest)) {
    AppendLength(aOut, aRequest.mBody.size());
  }
  aOut.append("\r\n");
}

void AppendHead(std::string& aOut,
                const HttpResponse& aResponse,
                BodyFraming aFraming,
                bool aKeepAlive)
{
  const auto reason = boost::beast::http::obsolete_reason(
    boost::beast::http::int_to_status(aResponse.mStatus));
  aOut.append("HTTP/1.1 ");
  AppendNumber(aOut, aResponse.mStatus);
  aOut.append(" ").append(reason.data(), reason.size()).append("\r\n");
  AppendHeaders(aOut, aResponse.mHeaders);
  if (aFraming == BodyFraming::ContentLength) {
    AppendLength(aOut, aResponse.mBody.size());
  } else if (aFraming == BodyFraming::Chunked) {
    aOut.append("Transfer-Encoding: chunked\r\n");
  }
  aOut.append(aKeepAlive ? "\r\n" : "Connection: close\r\n\r\n");
}

} // namespace foxtailbarrow::net::detail
